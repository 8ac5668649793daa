package variants

import (
	"container/heap"
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// The designs.
const (
	// Owner: one router admits the requests of an engine and knows its load.
	Owner = "owner"
	// Gossip: each router places by the loads it last heard of, with the power of two choices.
	Gossip = "gossip"
	// Shares: each router has a fixed share of each engine's capacity.
	Shares = "shares"
)

// Designs lists the designs in the order of the report.
var Designs = []string{Owner, Gossip, Shares}

const (
	bound = 1.25
	// step is the resolution of the model and sample that of the figures, in seconds.
	step = 0.1
	// perEngine is the rate of requests of an engine and serviceTime their mean time in seconds: 4,100 requests/s on 600
	// engines, about 215 tokens each.
	perEngine   = 4100.0 / 600
	serviceTime = 4.0
	// In the middle third of a run, a surge adds half of the rate on few chats.
	surge, surgeChats = 0.5, 40
	// candidates is the number of engines that are tried, in rendezvous order.
	candidates = 8
	// meanAge is the age of the mean that owners know, in seconds.
	meanAge = 1.5
	// warm is the time before the figures are taken. In its first part, filling, requests start without a limit: a fleet that
	// starts from nothing would build up a queue and release it into the measured time.
	warm, filling = 30.0, 10.0
	// entryBytes is the size of a gossiped load, by section 7 of the design page: 340 entries cost about 7 KB.
	entryBytes = 20
	// slotBytes is the size of asking for a slot, the grant and its return as JSON-RPC, and loadBytes that of a load report
	// and its answer for one pool, with the same for the exchange between availability zones.
	slotBytes, loadBytes = 480, 420
)

// Setup is what a run depends on.
type Setup struct {
	Design  string
	Routers int
	Seed    uint64
	Seconds int
	// Strayed is the share of requests that do not reach the owner of their home engine first.
	Strayed float64
	// Trend makes routers extrapolate a falling mean.
	Trend bool
}

// model is one run.
type model struct {
	Setup
	rnd     *rand.Rand
	zipf    *rand.Zipf
	engines int
	load    []int
	sum     int
	// past holds the loads of the last steps, newest last.
	past [][]int
	ends ends
	now  float64
	// held counts the requests of a router on an engine; recent holds when a router placed on an engine.
	held    map[pair]int
	recent  map[pair][]float64
	waiting []request
	slots   int
	result  Result
	total   int
}

type pair struct{ router, engine int }

type request struct {
	chat   uint64
	router int
	since  float64
}

type end struct {
	at float64
	pair
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Simulate runs one design.
func Simulate(s Setup) Result {
	m := &model{
		Setup: s, rnd: rand.New(rand.NewPCG(s.Seed, 7)), engines: max(9, s.Routers*600/340),
		held: map[pair]int{}, recent: map[pair][]float64{},
	}
	m.zipf = rand.NewZipf(m.rnd, 1.05, 50, uint64(5000*m.engines))
	m.load = make([]int, m.engines)
	samples := 0
	for m.now = 0; m.now < float64(s.Seconds)+warm-step/2; m.now += step {
		m.finish()
		m.retry()
		m.arrive(m.now - warm)
		m.past = append(m.past, append([]int(nil), m.load...))
		if len(m.past) > 100 {
			m.past = m.past[1:]
		}
		if m.now >= warm {
			samples++
			m.observe()
		}
	}
	m.result.Design, m.result.Routers, m.result.Engines = s.Design, s.Routers, m.engines
	m.result.Skew /= float64(samples)
	m.result.Home /= float64(m.total)
	m.result.Waited /= float64(m.total)
	m.result.Delay /= float64(m.total)
	m.result.Bytes = m.bytes()
	return m.result
}

// bytes is the control traffic of a router in a second.
func (m *model) bytes() float64 {
	seconds := float64(m.Seconds)
	switch m.Design {
	case Owner:
		owned := float64(m.engines) / float64(m.Routers)
		return 2*float64(m.slots)/seconds/float64(m.Routers)*slotBytes + 2*owned*loadBytes
	case Gossip:
		return 2 * float64(m.engines) * entryBytes
	default:
		return 0
	}
}

func (m *model) finish() {
	for len(m.ends) > 0 && m.ends[0].at <= m.now {
		e := heap.Pop(&m.ends).(end)
		m.load[e.engine]--
		m.sum--
		m.held[e.pair]--
	}
}

func (m *model) retry() {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		m.place(r)
	}
}

// arrive places the requests of a step.
func (m *model) arrive(at float64) {
	rate := perEngine * float64(m.engines)
	third := float64(m.Seconds) / 3
	hot := 0.0
	if at >= third && at < 2*third {
		hot = surge
	}
	for range m.poisson(rate * (1 + hot) * step) {
		chat := m.zipf.Uint64()
		if m.rnd.Float64() < hot/(1+hot) {
			chat = 1<<40 + m.rnd.Uint64N(surgeChats*uint64(m.engines)/9)
		}
		r := request{chat, m.rnd.IntN(m.Routers), m.now}
		if m.now >= warm {
			m.total++
		}
		m.place(r)
	}
}

// poisson draws by the normal approximation, which is close at the means used here.
func (m *model) poisson(mean float64) int {
	return max(0, int(math.Round(mean+math.Sqrt(mean)*m.rnd.NormFloat64())))
}

// engine is the candidate of a rank for a chat.
func (m *model) engine(chat uint64, rank int) int {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], chat)
	binary.LittleEndian.PutUint64(buf[8:], uint64(rank))
	return int(xxhash.Sum64(buf[:]) % uint64(m.engines))
}

// place starts a request or lets it wait for the next step.
func (m *model) place(r request) {
	rank := m.choose(r)
	if rank < 0 {
		m.waiting = append(m.waiting, r)
		return
	}
	e := m.engine(r.chat, rank)
	if r.since >= warm {
		m.count(r, rank)
	}
	p := pair{r.router, e}
	m.load[e]++
	m.sum++
	m.held[p]++
	if m.Design == Gossip {
		m.recent[p] = append(m.recent[p], m.now)
	}
	heap.Push(&m.ends, end{m.now + m.rnd.ExpFloat64()*serviceTime, p})
}

// count takes the figures of a request.
func (m *model) count(r request, rank int) {
	if rank == 0 {
		m.result.Home++
	}
	if m.now > r.since {
		m.result.Waited++
		m.result.Delay += m.now - r.since
	}
	if rank > 0 || m.rnd.Float64() < m.Strayed {
		m.slots++
	}
}

// choose returns the rank of the engine to use, or -1 to wait.
func (m *model) choose(r request) int {
	if m.now < filling {
		return 0
	}
	switch m.Design {
	case Owner:
		return m.first(r, func(e int) bool { return float64(m.load[e]+1) <= admitted(m.knownMean()) })
	case Shares:
		// The share of an engine's capacity, at least one request: less would shut routers out. The capacity is the bound at
		// the load of the surge: a share of the bound at the present load would keep the load from growing.
		share := max(1, int(limit(perEngine*serviceTime*(1+surge))/float64(m.Routers)))
		return m.first(r, func(e int) bool { return m.held[pair{r.router, e}] < share })
	default:
		return m.twoChoices(r)
	}
}

// limit is the bound with the allowance of one request.
func limit(mean float64) float64 { return bound*mean + 1 }

// admitted is the load up to which requests are admitted. It keeps the allowance for the time in which the mean falls, except
// at small loads, where the bound alone would admit nothing.
func admitted(mean float64) float64 { return max(bound*mean, mean+1) }

func (m *model) first(r request, admits func(engine int) bool) int {
	for rank := range candidates {
		if admits(m.engine(r.chat, rank)) {
			return rank
		}
	}
	return -1
}

// twoChoices takes the home engine if it seems to be within the bound, else the lower of the next two that seem to be.
func (m *model) twoChoices(r request) int {
	most := admitted(m.knownMean())
	for rank := 0; rank < candidates; rank++ {
		load := m.seen(r.router, m.engine(r.chat, rank))
		if rank == 0 && load+1 <= most {
			return 0
		}
		if rank == 0 {
			continue
		}
		best := rank
		if rank+1 < candidates {
			if other := m.seen(r.router, m.engine(r.chat, rank+1)); other < load {
				best, load = rank+1, other
			}
			rank++
		}
		if load+1 <= most {
			return best
		}
	}
	return -1
}

// knownMean is the mean that routers use: the last one known, less what it fell by in its age. Without that, a router admits
// too much while the load falls after a surge.
func (m *model) knownMean() float64 {
	last := m.seenMean(meanAge)
	if !m.Trend {
		return last
	}
	fall := max(0, m.seenMean(meanAge+1)-last)
	return last - fall*meanAge
}

// seenMean is the mean load some seconds ago.
func (m *model) seenMean(age float64) float64 {
	loads := m.before(age)
	total := 0
	for _, l := range loads {
		total += l
	}
	return float64(total) / float64(m.engines)
}

// before returns the loads some seconds ago.
func (m *model) before(age float64) []int {
	if len(m.past) == 0 {
		return m.load
	}
	return m.past[max(0, len(m.past)-1-int(age/step))]
}

// seen is the load of an engine as a router heard of it, with what the router itself placed since. News takes a round of
// gossip, and half a round more for each doubling of the fleet.
func (m *model) seen(router, engine int) float64 {
	p := pair{router, engine}
	most := 1 + 0.5*math.Log2(float64(m.Routers))
	share := float64(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(router*m.engines+engine)))%1000) / 1000
	age := 0.2 + share*(most-0.2)
	times := m.recent[p]
	for len(times) > 0 && times[0] < m.now-age {
		times = times[1:]
	}
	m.recent[p] = times
	return float64(m.before(age)[engine] + len(times))
}

// observe takes the figures of a step.
func (m *model) observe() {
	high := 0
	for _, l := range m.load {
		high = max(high, l)
	}
	mean := float64(m.sum) / float64(m.engines)
	if mean == 0 {
		return
	}
	m.result.Skew += float64(high) / mean
	m.result.Peak = max(m.result.Peak, float64(high)/mean)
	if float64(high) > limit(mean) {
		m.result.Above += step
	}
}
