package admission

import (
	"slices"
	"time"
)

// queue holds the waiting requests. The next is chosen by effective class, then by start-time fair queueing among the
// accounts, then by arrival. Searches are linear: Settings.Queue bounds the length.
type queue struct {
	settings Settings
	entries  []waiting
	// finish is the virtual finish time of each account's latest request; accounts behind virtual are dropped.
	finish map[string]float64
	// count is the number of entries of each account.
	count   map[string]int
	virtual float64
	nextSeq uint64
}

type waiting struct {
	ask   Ask
	at    time.Time
	until time.Time
	// start is the virtual start time.
	start float64
	seq   uint64
}

func newQueue(s Settings) queue {
	return queue{settings: s, finish: map[string]float64{}, count: map[string]int{}}
}

func (q *queue) len() int { return len(q.entries) }

// charge counts a request in the account's virtual time and returns its virtual start.
func (q *queue) charge(ask Ask) float64 {
	start := max(q.virtual, q.finish[ask.Account])
	q.finish[ask.Account] = start + ask.Cost/ask.Weight
	return start
}

func (q *queue) push(now time.Time, ask Ask) {
	until := now.Add(q.settings.Wait)
	if !ask.Deadline.IsZero() && ask.Deadline.Before(until) {
		until = ask.Deadline
	}
	q.nextSeq++
	q.count[ask.Account]++
	q.entries = append(q.entries, waiting{ask: ask, at: now, until: until, start: q.charge(ask), seq: q.nextSeq})
}

// class is the priority class with ageing.
func (q *queue) class(now time.Time, e waiting) int {
	class := int(e.ask.Class)
	if e.ask.Over {
		class = int(Batch) + 1
	}
	if q.settings.Age <= 0 {
		return class
	}
	return class - int(now.Sub(e.ask.Since)/q.settings.Age)
}

// before orders the entries; it is a strict order because seq is unique.
func (q *queue) before(now time.Time, a, b waiting) bool {
	if x, y := q.class(now, a), q.class(now, b); x != y {
		return x < y
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

// blocks is true if a waiting request that counts goes before a new one.
func (q *queue) blocks(now time.Time, ask Ask, counts func(Ask) bool) bool {
	e := waiting{ask: ask, at: now, start: max(q.virtual, q.finish[ask.Account]), seq: q.nextSeq + 1}
	return slices.ContainsFunc(q.entries, func(w waiting) bool { return q.before(now, w, e) && counts(w.ask) })
}

// next removes and returns the first entry if it fits. An entry that does not fit blocks only its own account, since the
// reason may be that account's share.
func (q *queue) next(now time.Time, fits func(waiting) bool) (waiting, bool) {
	var blocked []string
	for {
		best := -1
		for i, e := range q.entries {
			if slices.Contains(blocked, e.ask.Account) {
				continue
			}
			if best < 0 || q.before(now, e, q.entries[best]) {
				best = i
			}
		}
		if best < 0 {
			return waiting{}, false
		}
		e := q.entries[best]
		if !fits(e) {
			blocked = append(blocked, e.ask.Account)
			continue
		}
		q.cut(best)
		q.virtual = max(q.virtual, e.start)
		q.prune()
		return e, true
	}
}

// prune bounds the memory for accounts that have nothing waiting and are not ahead.
func (q *queue) prune() {
	const enough = 1024
	if len(q.finish) <= enough {
		return
	}
	for account, f := range q.finish {
		if f <= q.virtual {
			delete(q.finish, account)
		}
	}
}

// overdue removes and returns the entries whose wait is over.
func (q *queue) overdue(now time.Time) []waiting {
	var out []waiting
	for i := 0; i < len(q.entries); {
		if e := q.entries[i]; !now.Before(e.until) {
			out = append(out, e)
			q.cut(i)
			q.refund(e.ask)
			continue
		}
		i++
	}
	return out
}

// mayDisplace is true if a full queue takes the request, because another account has more than its share of the queue.
func (q *queue) mayDisplace(ask Ask) bool {
	account, most := q.longest()
	return account != ask.Account && q.share(ask.Account, ask.Weight)+1/ask.Weight < most
}

// longest returns the account with the most waiting cost for its weight.
func (q *queue) longest() (account string, most float64) {
	for _, e := range q.entries {
		if s := q.share(e.ask.Account, e.ask.Weight); s > most {
			account, most = e.ask.Account, s
		}
	}
	return account, most
}

func (q *queue) share(account string, weight float64) float64 {
	return float64(q.count[account]) / weight
}

// overflow removes the newest entries of the longest accounts while the queue is too long.
func (q *queue) overflow() []waiting {
	var out []waiting
	for len(q.entries) > q.settings.Queue {
		account, _ := q.longest()
		for i := len(q.entries) - 1; i >= 0; i-- {
			if q.entries[i].ask.Account == account {
				out = append(out, q.entries[i])
				q.cut(i)
				break
			}
		}
	}
	return out
}

func (q *queue) find(request string) (waiting, bool) {
	for _, e := range q.entries {
		if e.ask.Request == request {
			return e, true
		}
	}
	return waiting{}, false
}

func (q *queue) remove(request string) bool {
	i := slices.IndexFunc(q.entries, func(e waiting) bool { return e.ask.Request == request })
	if i < 0 {
		return false
	}
	ask := q.entries[i].ask
	q.cut(i)
	q.refund(ask)
	return true
}

// refund takes back the charge of a request that got no slot.
func (q *queue) refund(ask Ask) {
	if f, ok := q.finish[ask.Account]; ok {
		q.finish[ask.Account] = max(q.virtual, f-ask.Cost/ask.Weight)
	}
}

// cut removes the entry at a position.
func (q *queue) cut(i int) {
	account := q.entries[i].ask.Account
	if q.count[account]--; q.count[account] == 0 {
		delete(q.count, account)
	}
	q.entries = slices.Delete(q.entries, i, i+1)
}
