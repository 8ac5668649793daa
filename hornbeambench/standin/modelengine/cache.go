package modelengine

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// block is a prefix of a chat that ends with a message.
type block struct {
	// Key identifies the prefix by its content.
	Key string `json:"key"`
	// Tokens is the length of the whole prefix.
	Tokens int `json:"tokens"`
}

// extend returns the prefixes with one more message.
func extend(prefix []block, message string, tokens int) []block {
	key, length := "", 0
	if n := len(prefix); n > 0 {
		key, length = prefix[n-1].Key, prefix[n-1].Tokens
	}
	next := block{
		Key:    strconv.FormatUint(xxhash.Sum64String(key+"\x00"+message), 16),
		Tokens: length + tokens,
	}
	return append(prefix[:len(prefix):len(prefix)], next)
}

type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Chat   string `json:"chat,omitempty"`
	Tokens int    `json:"tokens"`
	at     time.Time
}

type cached struct {
	block
	chat string
	// own is the number of tokens that this prefix adds to the one before.
	own int
}

// prefixCache keeps the prefixes used last within a limit of tokens.
type prefixCache struct {
	limit, used, gap int
	order            *list.List
	byKey            map[string]*list.Element
	byChat           map[string][]block
	events           []cacheEvent
	seq              int64
}

func newPrefixCache(limit, gap int) *prefixCache {
	return &prefixCache{
		limit: limit, gap: gap, order: list.New(),
		byKey: map[string]*list.Element{}, byChat: map[string][]block{},
	}
}

// lookup returns the length of the longest cached prefix.
func (c *prefixCache) lookup(prefix []block) int {
	length := 0
	for _, b := range prefix {
		element, ok := c.byKey[b.Key]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		length = b.Tokens
	}
	return length
}

// store adds the prefixes of a chat and evicts those used longest ago.
func (c *prefixCache) store(chat string, prefix []block, at time.Time) {
	before := 0
	for _, b := range prefix {
		if element, ok := c.byKey[b.Key]; ok {
			c.order.MoveToFront(element)
		} else {
			entry := &cached{block: b, chat: chat, own: b.Tokens - before}
			c.byKey[b.Key] = c.order.PushFront(entry)
			c.used += entry.own
			c.event("stored", entry, at)
		}
		before = b.Tokens
	}
	c.byChat[chat] = prefix
	for c.used > c.limit && c.order.Len() > 0 {
		c.evict(c.order.Back(), at)
	}
}

func (c *prefixCache) evict(element *list.Element, at time.Time) {
	entry := c.order.Remove(element).(*cached)
	delete(c.byKey, entry.Key)
	c.used -= entry.own
	if blocks := c.byChat[entry.chat]; len(blocks) > 0 && blocks[len(blocks)-1].Key == entry.Key {
		delete(c.byChat, entry.chat)
	}
	c.event("evicted", entry, at)
}

func (c *prefixCache) event(kind string, entry *cached, at time.Time) {
	const kept = 4096
	c.seq++
	if c.gap > 0 && c.seq%int64(c.gap) == 0 {
		return
	}
	if len(c.events) >= kept {
		c.events = c.events[kept/2:]
	}
	c.events = append(c.events, cacheEvent{
		Seq: c.seq, Kind: kind, Prefix: entry.Key, Chat: entry.chat, Tokens: entry.Tokens, at: at,
	})
}

// after returns the events behind a sequence number that are older than until.
func (c *prefixCache) after(seq int64, until time.Time) []cacheEvent {
	out := []cacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && !ev.at.After(until) {
			out = append(out, ev)
		}
	}
	return out
}
