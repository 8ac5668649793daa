package balance

import "time"

// cacheEntries bounds the prompts that are remembered. The loss of one costs a transfer that may not have been needed.
const cacheEntries = 1 << 14

// cacheServers is the number of servers that are remembered for each prompt.
const cacheServers = 4

// caches remembers to which servers this router sent requests of each shared prompt. It is bounded: a new prompt replaces that
// of its bucket.
type caches struct {
	entries []cached
}

type cached struct {
	prompt  uint64
	servers [cacheServers]uint64
	// next is the position that is overwritten next.
	next uint8
	sent rate
}

func newCaches() *caches { return &caches{entries: make([]cached, cacheEntries)} }

func (c *caches) bucket(prompt uint64) *cached { return &c.entries[mix(prompt)%cacheEntries] }

// has is true if a request of the prompt was sent to the server.
func (c *caches) has(prompt, server uint64) bool {
	e := c.bucket(prompt)
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

// rate returns the number of own requests of the prompt per second.
func (c *caches) rate(now time.Time, prompt uint64) float64 {
	if e := c.bucket(prompt); e.prompt == prompt {
		return e.sent.perSecond(now)
	}
	return 0
}

// count counts a request of a prompt that was put.
func (c *caches) count(now time.Time, prompt uint64) {
	if e := c.bucket(prompt); e.prompt == prompt {
		e.sent.count(now)
	}
}

// put remembers that a request of the prompt is sent to the server.
func (c *caches) put(prompt, server uint64) {
	if c.has(prompt, server) {
		return
	}
	e := c.bucket(prompt)
	if e.prompt != prompt {
		*e = cached{prompt: prompt}
	}
	e.servers[e.next%cacheServers] = server
	e.next++
}
