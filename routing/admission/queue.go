package admission

import (
	"slices"
	"time"
)

// queue holds the waiting requests. It orders them by effective class, then by start-time fair
// queueing among the accounts, then by arrival. Searches are linear, since Settings.MaxQueueLength
// bounds the length.
type queue struct {
	settings Settings
	entries  []queueEntry
	// finishTimes holds the virtual finish time of each account's latest request. Accounts whose
	// finish time is not later than virtualTime are pruned.
	finishTimes map[string]float64
	// count is the number of entries of each account.
	count       map[string]int
	virtualTime float64
	nextSeq     uint64
}

// queueEntry is a waiting request.
type queueEntry struct {
	req SlotRequest
	// at is when the request joined the queue.
	at time.Time
	// until is when the request is refused if it still waits.
	until time.Time
	// start is the virtual start time.
	start float64
	seq   uint64
}

func newQueue(s Settings) queue {
	return queue{settings: s, finishTimes: map[string]float64{}, count: map[string]int{}}
}

func (q *queue) len() int { return len(q.entries) }

// charge advances the account's virtual finish time by a request and returns the request's virtual
// start time.
func (q *queue) charge(req SlotRequest) float64 {
	start := max(q.virtualTime, q.finishTimes[req.Account])
	q.finishTimes[req.Account] = start + req.Cost/req.Weight
	return start
}

func (q *queue) push(now time.Time, req SlotRequest) {
	until := now.Add(q.settings.MaxWait)
	if !req.Deadline.IsZero() && req.Deadline.Before(until) {
		until = req.Deadline
	}
	q.nextSeq++
	q.count[req.Account]++
	q.entries = append(q.entries, queueEntry{req: req, at: now, until: until, start: q.charge(req), seq: q.nextSeq})
}

// class returns the priority class after aging.
func (q *queue) class(now time.Time, e queueEntry) int {
	class := int(e.req.Class)
	if e.req.Surging {
		class = int(Batch) + 1
	}
	if q.settings.AgingInterval <= 0 {
		return class
	}
	return class - int(now.Sub(e.req.Since)/q.settings.AgingInterval)
}

// before reports whether a precedes b. The order is strict because seq is unique.
func (q *queue) before(now time.Time, a, b queueEntry) bool {
	if x, y := q.class(now, a), q.class(now, b); x != y {
		return x < y
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

// blocks reports whether a waiting request precedes a new one. Waiting requests for which mayBlock
// returns false are ignored.
func (q *queue) blocks(now time.Time, req SlotRequest, mayBlock func(SlotRequest) bool) bool {
	e := queueEntry{req: req, at: now, start: max(q.virtualTime, q.finishTimes[req.Account]), seq: q.nextSeq + 1}
	return slices.ContainsFunc(q.entries, func(w queueEntry) bool { return q.before(now, w, e) && mayBlock(w.req) })
}

// popNext removes and returns the first entry that fits. An entry that does not fit blocks only its
// own account, since the cause may be that account's share.
func (q *queue) popNext(now time.Time, fits func(queueEntry) bool) (queueEntry, bool) {
	var blocked []string
	for {
		best := -1
		for i, e := range q.entries {
			if slices.Contains(blocked, e.req.Account) {
				continue
			}
			if best < 0 || q.before(now, e, q.entries[best]) {
				best = i
			}
		}
		if best < 0 {
			return queueEntry{}, false
		}
		e := q.entries[best]
		if !fits(e) {
			blocked = append(blocked, e.req.Account)
			continue
		}
		q.removeAt(best)
		q.virtualTime = max(q.virtualTime, e.start)
		q.prune()
		return e, true
	}
}

// prune limits the memory used for accounts whose virtual finish time has passed.
func (q *queue) prune() {
	const pruneThreshold = 1024
	if len(q.finishTimes) <= pruneThreshold {
		return
	}
	for account, f := range q.finishTimes {
		if f <= q.virtualTime {
			delete(q.finishTimes, account)
		}
	}
}

// removeOverdue removes and returns the entries whose waiting time has run out.
func (q *queue) removeOverdue(now time.Time) []queueEntry {
	var out []queueEntry
	for i := 0; i < len(q.entries); {
		if e := q.entries[i]; !now.Before(e.until) {
			out = append(out, e)
			q.removeAt(i)
			q.refund(e.req)
			continue
		}
		i++
	}
	return out
}

// mayDisplace reports whether a full queue accepts the request in place of the newest request of
// the heaviest account. It does if, even with the request, the request's account has fewer waiting
// requests relative to its weight than the heaviest account.
func (q *queue) mayDisplace(req SlotRequest) bool {
	account, highest := q.heaviestAccount()
	return account != req.Account && q.countPerWeight(req.Account, req.Weight)+1/req.Weight < highest
}

// heaviestAccount returns the account with the most waiting requests relative to its weight, and
// their number divided by the weight.
func (q *queue) heaviestAccount() (account string, highest float64) {
	for _, e := range q.entries {
		if c := q.countPerWeight(e.req.Account, e.req.Weight); c > highest {
			account, highest = e.req.Account, c
		}
	}
	return account, highest
}

func (q *queue) countPerWeight(account string, weight float64) float64 {
	return float64(q.count[account]) / weight
}

// removeOverflow removes and returns the newest entries of the heaviest accounts until the queue is
// within its limit.
func (q *queue) removeOverflow() []queueEntry {
	var out []queueEntry
	for len(q.entries) > q.settings.MaxQueueLength {
		account, _ := q.heaviestAccount()
		for i := len(q.entries) - 1; i >= 0; i-- {
			if q.entries[i].req.Account == account {
				out = append(out, q.entries[i])
				q.removeAt(i)
				break
			}
		}
	}
	return out
}

func (q *queue) find(request string) (queueEntry, bool) {
	for _, e := range q.entries {
		if e.req.RequestID == request {
			return e, true
		}
	}
	return queueEntry{}, false
}

func (q *queue) remove(request string) bool {
	i := slices.IndexFunc(q.entries, func(e queueEntry) bool { return e.req.RequestID == request })
	if i < 0 {
		return false
	}
	req := q.entries[i].req
	q.removeAt(i)
	q.refund(req)
	return true
}

// refund reverts the charge of a request that waited too long or was abandoned by its caller.
func (q *queue) refund(req SlotRequest) {
	if f, ok := q.finishTimes[req.Account]; ok {
		q.finishTimes[req.Account] = max(q.virtualTime, f-req.Cost/req.Weight)
	}
}

// removeAt removes the entry at index i.
func (q *queue) removeAt(i int) {
	account := q.entries[i].req.Account
	if q.count[account]--; q.count[account] == 0 {
		delete(q.count, account)
	}
	q.entries = slices.Delete(q.entries, i, i+1)
}
