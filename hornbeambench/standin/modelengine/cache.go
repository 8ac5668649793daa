package modelengine

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chatPrefix is a prefix of a chat that ends with a whole message.
type chatPrefix struct {
	// Key is a hash of the last message and the key of the next shorter prefix, and therefore
	// depends on all messages of the prefix.
	Key string `json:"key"`
	// Tokens is the length of the whole prefix.
	Tokens int `json:"tokens"`
}

// appendMessage returns the prefixes of a chat after one more message. It does not change the given
// prefixes.
func appendMessage(prefixes []chatPrefix, message string, tokens int) []chatPrefix {
	key, length := "", 0
	if n := len(prefixes); n > 0 {
		key, length = prefixes[n-1].Key, prefixes[n-1].Tokens
	}
	next := chatPrefix{
		Key:    strconv.FormatUint(xxhash.Sum64String(key+"\x00"+message), 16),
		Tokens: length + tokens,
	}
	return append(prefixes[:len(prefixes):len(prefixes)], next)
}

// cacheEvent reports that a prefix was stored or evicted.
type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	Chat   string `json:"chat,omitempty"`
	Tokens int    `json:"tokens"`
	time   time.Time
}

// cacheEntry is a cached prefix and the chat that stored it.
type cacheEntry struct {
	chatPrefix
	chatID string
	// addedTokens is the number of tokens of the last message, by which this prefix is longer than
	// the next shorter one.
	addedTokens int
}

// prefixCache is an LRU cache of chat prefixes whose capacity is a number of tokens.
type prefixCache struct {
	// maxTokens is the capacity, and usedTokens the sum of addedTokens over all entries. Events
	// whose sequence number is a multiple of dropInterval are dropped; 0 drops none.
	maxTokens, usedTokens, dropInterval int
	// lru contains the entries, the most recently used first.
	lru *list.List
	// byKey holds the elements of lru by the key of the prefix.
	byKey map[string]*list.Element
	// byChat holds the prefixes that were last stored for each chat.
	byChat map[string][]chatPrefix
	events []cacheEvent
	// lastSeq is the sequence number of the last event, including dropped events.
	lastSeq int64
}

func newPrefixCache(maxTokens, dropInterval int) *prefixCache {
	return &prefixCache{
		maxTokens: maxTokens, dropInterval: dropInterval, lru: list.New(),
		byKey: map[string]*list.Element{}, byChat: map[string][]chatPrefix{},
	}
}

// lookup returns the number of tokens of the longest cached prefix. prefixes must be in order of
// length. lookup marks the prefixes that it finds as most recently used.
func (c *prefixCache) lookup(prefixes []chatPrefix) int {
	length := 0
	for _, p := range prefixes {
		element, ok := c.byKey[p.Key]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		length = p.Tokens
	}
	return length
}

// store adds the prefixes of a chat, then evicts the least recently used prefixes until the cache
// is within its capacity.
func (c *prefixCache) store(chatID string, prefixes []chatPrefix, now time.Time) {
	previousTokens := 0
	for _, p := range prefixes {
		if element, ok := c.byKey[p.Key]; ok {
			c.lru.MoveToFront(element)
		} else {
			entry := &cacheEntry{chatPrefix: p, chatID: chatID, addedTokens: p.Tokens - previousTokens}
			c.byKey[p.Key] = c.lru.PushFront(entry)
			c.usedTokens += entry.addedTokens
			c.recordEvent("stored", entry, now)
		}
		previousTokens = p.Tokens
	}
	c.byChat[chatID] = prefixes
	for c.usedTokens > c.maxTokens && c.lru.Len() > 0 {
		c.evict(c.lru.Back(), now)
	}
}

func (c *prefixCache) evict(element *list.Element, now time.Time) {
	entry := c.lru.Remove(element).(*cacheEntry)
	delete(c.byKey, entry.Key)
	c.usedTokens -= entry.addedTokens
	if prefixes := c.byChat[entry.chatID]; len(prefixes) > 0 && prefixes[len(prefixes)-1].Key == entry.Key {
		delete(c.byChat, entry.chatID)
	}
	c.recordEvent("evicted", entry, now)
}

// recordEvent records an event, unless dropInterval drops it. If maxEvents are already stored, the
// older half is discarded first.
func (c *prefixCache) recordEvent(kind string, entry *cacheEntry, now time.Time) {
	const maxEvents = 4096
	c.lastSeq++
	if c.dropInterval > 0 && c.lastSeq%int64(c.dropInterval) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = c.events[maxEvents/2:]
	}
	c.events = append(c.events, cacheEvent{
		Seq: c.lastSeq, Kind: kind, Prefix: entry.Key, Chat: entry.chatID, Tokens: entry.Tokens, time: now,
	})
}

// eventsAfter returns the events with a sequence number above seq and a time not later than until.
func (c *prefixCache) eventsAfter(seq int64, until time.Time) []cacheEvent {
	out := []cacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && !ev.time.After(until) {
			out = append(out, ev)
		}
	}
	return out
}
