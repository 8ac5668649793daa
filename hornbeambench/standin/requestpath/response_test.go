package requestpath

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// received is the response that a caller received.
type received struct {
	status int
	header http.Header
	// text is the generated text.
	text string
	// done is true if the stream contained [DONE], or if a response without streaming contains a
	// whole chat completion.
	done bool
	// eventIDs contains the event IDs of a stream in the order received.
	eventIDs []string
	// failure is the typed error in the response body or in the last event of a stream.
	failure struct {
		Error struct {
			Code, Outcome, Remedy string
			Retry                 int
			Addresses             []string
		}
	}
	// failed is true if failure is set.
	failed bool
	// commentCount is the number of comments in a stream. The router sends comments as heartbeats.
	commentCount int
	// incomplete is true if the request failed or the connection ended before the end of the
	// response. An error event alone does not set it.
	incomplete bool
	// body is the body of a response without streaming.
	body string
}

// completion is a chat completion or a chunk of one.
type completion struct {
	ID      string
	Choices []struct {
		Delta, Message struct{ Content string }
	}
}

func (r *received) appendText(data string) {
	var c completion
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		panic(err)
	}
	for _, choice := range c.Choices {
		r.text += choice.Delta.Content + choice.Message.Content
	}
}

func (r *received) setFailure(data string) {
	r.failed = true
	if err := json.Unmarshal([]byte(data), &r.failure); err != nil {
		panic(err)
	}
}

// send sends a request on a new connection and reads the whole response.
func send(r *http.Request) received {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return received{incomplete: true}
	}
	defer resp.Body.Close()
	response := received{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		response.readStream(resp.Body)
		return response
	}
	data, err := io.ReadAll(resp.Body)
	response.body, response.incomplete = string(data), err != nil
	switch {
	case response.incomplete:
	case strings.HasPrefix(response.body, `{"error"`):
		response.setFailure(response.body)
	case strings.Contains(response.body, `"chat.completion"`):
		response.appendText(response.body)
		response.done = true
	}
	return response
}

func (r *received) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	eventName := ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case lines.Text() == "":
			eventName = ""
		case field == "":
			r.commentCount++
		case field == "event":
			eventName = value
		case field == "id":
			r.eventIDs = append(r.eventIDs, value)
		case eventName == "error":
			r.setFailure(value)
		case value == "[DONE]":
			r.done = true
		default:
			r.appendText(value)
		}
	}
	r.incomplete = lines.Err() != nil
}

// hasConsecutiveIDs reports whether the event IDs are 1, 2, 3 and so on.
func (r *received) hasConsecutiveIDs() bool {
	for i, id := range r.eventIDs {
		if id != strconv.Itoa(i+1) {
			return false
		}
	}
	return true
}
