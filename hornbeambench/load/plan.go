package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// maxHistoryTurns limits the earlier turns in a request, so that requests do not grow without limit
// in long runs.
const maxHistoryTurns = 8

// request is one planned request.
type request struct {
	id string
	// arrival is the planned arrival, from the start of the run.
	arrival time.Duration
	caller  Caller
	// key is the idempotency key of a call to the plain HTTP service; it is empty for a chat request.
	key    string
	chat   string
	stream bool
	// turns are the turns of the chat; the last one is the new one.
	turns []turn
	// tokens is the number of tokens of the completion.
	tokens int
}

// turn is a user message and its expected completion.
type turn struct{ userMessage, completion string }

// prompt returns the prompt of the last turn, including the earlier turns. It has the format that
// the simulated engines hash to generate the completion.
func (r request) prompt() string {
	var text strings.Builder
	for _, t := range r.turns[:len(r.turns)-1] {
		text.WriteString("user:" + t.userMessage + "\nassistant:" + t.completion + "\n")
	}
	text.WriteString("user:" + r.turns[len(r.turns)-1].userMessage + "\n")
	return text.String()
}

func (r request) expected() string { return r.turns[len(r.turns)-1].completion }

// plan returns the requests of a run in the order of arrival. The same settings give the same
// requests. The load is open-loop: arrivals do not wait for responses. Latencies are measured from
// the planned arrival, so that they include the time that a request waits for a slow router.
func plan(s *Settings) []request {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var requests []request
	history := map[string][]turn{}
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(rng.ExpFloat64() / s.ArrivalRate * float64(time.Second))
		if arrival >= s.Duration {
			return requests
		}
		r := request{
			id:      fmt.Sprintf("%d-%d", s.Seed, len(requests)),
			arrival: arrival,
			caller:  s.Callers[rng.IntN(len(s.Callers))],
			tokens:  s.CompletionTokens,
		}
		if rng.Float64() < s.CallRatio {
			r.key = "key-" + r.id
		} else {
			r.stream = rng.Float64() < s.StreamRatio
			r.chat = fmt.Sprintf("%s-%d-%d", r.caller.Label, s.Seed, rng.IntN(s.ChatsPerCaller))
			r.turns = nextTurns(s, history[r.chat], r)
			history[r.chat] = r.turns
		}
		requests = append(requests, r)
	}
}

// nextTurns returns the turns of a chat and a new one. At the limit, it drops the older half of the
// turns at once, so that the prefix of the prompt changes rarely.
func nextTurns(s *Settings, earlier []turn, r request) []turn {
	if len(earlier) >= maxHistoryTurns {
		earlier = earlier[maxHistoryTurns/2:]
	}
	// The full slice expression makes append copy the turns, so that requests do not share them.
	r.turns = append(earlier[:len(earlier):len(earlier)], turn{userMessage: uniqueMessage(s.MessageWords, r.id)})
	r.turns[len(r.turns)-1].completion = s.ExpectedCompletion(r.prompt(), r.tokens)
	return r.turns
}

// uniqueMessage returns a text that no other request contains.
func uniqueMessage(words int, id string) string {
	return id + strings.Repeat(" word", words-1)
}
