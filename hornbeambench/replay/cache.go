package replay

import "container/list"

// prefixCache is the KV cache of an engine. It holds the contexts of chats and the shared prefixes
// of client accounts. It evicts the least recently used entry, where only put counts as a use.
type prefixCache struct {
	limitTokens, usedTokens int
	order                   *list.List
	entries                 map[string]*list.Element
	// evictedLastUse is the maximum lastUsed of the evicted contexts.
	evictedLastUse float64
}

type cacheEntry struct {
	// name is the key of the entry. chat is empty for a shared prefix.
	name, chat, account string
	tokens              int
	// lastUsed is the time of the last use in seconds since the start of the replay.
	lastUsed float64
}

func newCache(limit int) *prefixCache {
	return &prefixCache{limitTokens: limit, order: list.New(), entries: map[string]*list.Element{}}
}

// tokens returns the number of tokens of the named entry, or 0 if it is not cached.
func (c *prefixCache) tokens(name string) int {
	if element, ok := c.entries[name]; ok {
		return element.Value.(*cacheEntry).tokens
	}
	return 0
}

// put stores or replaces an entry and evicts others if there is no room. An entry larger than the
// cache is not stored.
func (c *prefixCache) put(entry cacheEntry) {
	c.drop(entry.name)
	if entry.tokens > c.limitTokens {
		return
	}
	for c.usedTokens+entry.tokens > c.limitTokens {
		oldest := c.order.Back().Value.(*cacheEntry)
		if oldest.chat != "" {
			c.evictedLastUse = max(c.evictedLastUse, oldest.lastUsed)
		}
		c.drop(oldest.name)
	}
	c.entries[entry.name] = c.order.PushFront(&entry)
	c.usedTokens += entry.tokens
}

func (c *prefixCache) drop(name string) {
	if element, ok := c.entries[name]; ok {
		c.usedTokens -= element.Value.(*cacheEntry).tokens
		c.order.Remove(element)
		delete(c.entries, name)
	}
}

// chats returns the cached contexts of chats, most recently used first.
func (c *prefixCache) chats() []cacheEntry {
	var out []cacheEntry
	for element := c.order.Front(); element != nil; element = element.Next() {
		if entry := element.Value.(*cacheEntry); entry.chat != "" {
			out = append(out, *entry)
		}
	}
	return out
}
