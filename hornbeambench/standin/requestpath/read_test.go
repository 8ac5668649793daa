package requestpath

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// received is what a caller got.
type received struct {
	status int
	header http.Header
	// text is the answer's text; done is true after an explicit end or a whole answer.
	text string
	done bool
	// ids are the event ids of a stream.
	ids []string
	// failure is the typed error, as an answer or at the end of a stream.
	failure struct {
		Error struct {
			Code, Outcome, Remedy string
			Retry                 int
			Addresses             []string
		}
	}
	failed   bool
	comments int
	// broken is true if the connection ended before the answer did.
	broken bool
	body   string
}

type chunk struct {
	ID      string
	Choices []struct {
		Delta, Message struct{ Content string }
	}
}

func (r *received) take(data string) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		panic(err)
	}
	for _, choice := range c.Choices {
		r.text += choice.Delta.Content + choice.Message.Content
	}
}

func (r *received) fail(data string) {
	r.failed = true
	if err := json.Unmarshal([]byte(data), &r.failure); err != nil {
		panic(err)
	}
}

// send makes a request and reads the answer to its end.
func send(r *http.Request) received {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return received{broken: true}
	}
	defer resp.Body.Close()
	out := received{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.readStream(resp.Body)
		return out
	}
	data, err := io.ReadAll(resp.Body)
	out.body, out.broken = string(data), err != nil
	switch {
	case out.broken:
	case strings.HasPrefix(out.body, `{"error"`):
		out.fail(out.body)
	case strings.Contains(out.body, `"chat.completion"`):
		out.take(out.body)
		out.done = true
	}
	return out
}

func (r *received) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	name := ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case lines.Text() == "":
			name = ""
		case field == "":
			r.comments++
		case field == "event":
			name = value
		case field == "id":
			r.ids = append(r.ids, value)
		case name == "error":
			r.fail(value)
		case value == "[DONE]":
			r.done = true
		default:
			r.take(value)
		}
	}
	r.broken = lines.Err() != nil
}

// inOrder reports whether the event ids count from 1 without gaps or repetitions.
func (r *received) inOrder() bool {
	for i, id := range r.ids {
		if id != strconv.Itoa(i+1) {
			return false
		}
	}
	return true
}
