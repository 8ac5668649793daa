package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// historyTurns bounds the earlier turns that a request repeats, so that long runs do not grow their requests without end.
const historyTurns = 8

// request is one planned request.
type request struct {
	id     string
	at     time.Duration
	caller Caller
	// key is the idempotency key of a call; empty for a chat.
	key    string
	chat   string
	stream bool
	turns  []turn
	tokens int
}

// turn is a message and the right answer to it.
type turn struct{ question, answer string }

// prompt returns the prompt of the last turn in the form that engines hash.
func (r request) prompt() string {
	var text strings.Builder
	for _, t := range r.turns[:len(r.turns)-1] {
		text.WriteString("user:" + t.question + "\nassistant:" + t.answer + "\n")
	}
	text.WriteString("user:" + r.turns[len(r.turns)-1].question + "\n")
	return text.String()
}

func (r request) expected() string { return r.turns[len(r.turns)-1].answer }

// plan returns the requests of a run, in the order of arrival. It depends on the settings only. Arrivals do not wait for
// answers, and latencies count from the planned arrival, so that a slow router cannot hide its queue.
func plan(s *Settings) []request {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var requests []request
	history := map[string][]turn{}
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Duration {
			return requests
		}
		r := request{
			id:     fmt.Sprintf("%d-%d", s.Seed, len(requests)),
			at:     at,
			caller: s.Callers[random.IntN(len(s.Callers))],
			tokens: s.Tokens,
		}
		if random.Float64() < s.Calls {
			r.key = "key-" + r.id
		} else {
			r.stream = random.Float64() < s.Stream
			r.chat = fmt.Sprintf("%s-%d-%d", r.caller.Label, s.Seed, random.IntN(s.Chats))
			r.turns = next(s, history[r.chat], r)
			history[r.chat] = r.turns
		}
		requests = append(requests, r)
	}
}

// next returns the turns of a chat with a new one. Old turns are dropped by half, so that prefixes change rarely.
func next(s *Settings, earlier []turn, r request) []turn {
	if len(earlier) >= historyTurns {
		earlier = earlier[historyTurns/2:]
	}
	r.turns = append(earlier[:len(earlier):len(earlier)], turn{question: question(s.Words, r.id)})
	r.turns[len(r.turns)-1].answer = s.Expect(r.prompt(), r.tokens)
	return r.turns
}

// question returns a text that no other request has.
func question(words int, id string) string {
	return id + strings.Repeat(" word", words-1)
}
