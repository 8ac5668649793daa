package replay

import "container/list"

// prefixCache is an engine's KV cache: contexts by chat, and shared prefixes by account, evicted least recently used first.
type prefixCache struct {
	limit, used int
	order       *list.List
	entries     map[string]*list.Element
	// evicted is the last use of the latest chat that made room, in seconds.
	evicted float64
}

type cached struct {
	name, chat, account string
	tokens              int
	last                float64
}

func newCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

// tokens returns the length of the cached prefix under a name.
func (c *prefixCache) tokens(name string) int {
	if e, ok := c.entries[name]; ok {
		return e.Value.(*cached).tokens
	}
	return 0
}

// put stores or refreshes an entry and evicts others if needed.
func (c *prefixCache) put(v cached) {
	c.drop(v.name)
	if v.tokens > c.limit {
		return
	}
	for c.used+v.tokens > c.limit {
		old := c.order.Back().Value.(*cached)
		if old.chat != "" {
			c.evicted = max(c.evicted, old.last)
		}
		c.drop(old.name)
	}
	c.entries[v.name] = c.order.PushFront(&v)
	c.used += v.tokens
}

func (c *prefixCache) drop(name string) {
	if e, ok := c.entries[name]; ok {
		c.used -= e.Value.(*cached).tokens
		c.order.Remove(e)
		delete(c.entries, name)
	}
}

// chats returns the contexts of chats, the most recently used first.
func (c *prefixCache) chats() []cached {
	var out []cached
	for e := c.order.Front(); e != nil; e = e.Next() {
		if v := e.Value.(*cached); v.chat != "" {
			out = append(out, *v)
		}
	}
	return out
}
