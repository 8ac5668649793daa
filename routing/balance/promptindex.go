package balance

import "time"

// promptBuckets is the maximum number of prompts that are remembered. Forgetting one can cause a
// cache transfer that was not needed.
const promptBuckets = 1 << 14

// serversPerPrompt is the number of servers that are remembered for each prompt.
const serversPerPrompt = 4

// promptIndex records to which servers this router sent requests with each shared prompt prefix.
// Its size is fixed: a new prompt replaces the previous one in its bucket.
type promptIndex struct {
	entries []promptEntry
}

type promptEntry struct {
	prompt  uint64
	servers [serversPerPrompt]uint64
	// next is the count of recorded servers; modulo serversPerPrompt it is the index that is
	// overwritten next.
	next     uint8
	requests rate
}

func newPromptIndex() *promptIndex { return &promptIndex{entries: make([]promptEntry, promptBuckets)} }

func (idx *promptIndex) bucket(prompt uint64) *promptEntry {
	return &idx.entries[mix(prompt)%promptBuckets]
}

// has reports whether a request with the prompt was sent to the server.
func (idx *promptIndex) has(prompt, server uint64) bool {
	e := idx.bucket(prompt)
	if e.prompt != prompt {
		return false
	}
	for _, s := range e.servers {
		if s == server {
			return true
		}
	}
	return false
}

// rate returns the rate of this router's requests with the prompt, per second.
func (idx *promptIndex) rate(now time.Time, prompt uint64) float64 {
	if e := idx.bucket(prompt); e.prompt == prompt {
		return e.requests.perSecond(now)
	}
	return 0
}

// count counts a request with the prompt, if the prompt has an entry.
func (idx *promptIndex) count(now time.Time, prompt uint64) {
	if e := idx.bucket(prompt); e.prompt == prompt {
		e.requests.count(now)
	}
}

// put records that a request with the prompt is sent to the server.
func (idx *promptIndex) put(prompt, server uint64) {
	if idx.has(prompt, server) {
		return
	}
	e := idx.bucket(prompt)
	if e.prompt != prompt {
		*e = promptEntry{prompt: prompt}
	}
	e.servers[e.next%serversPerPrompt] = server
	e.next++
}
