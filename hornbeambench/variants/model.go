package variants

import (
	"container/heap"
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Designs of admission control.
const (
	// Owner assigns each engine to one router, its owner. The owner admits all requests to the
	// engine and knows the exact load of the engine.
	Owner = "owner"
	// Gossip lets each router choose by the loads that it last received, with the power of two
	// choices.
	Gossip = "gossip"
	// Shares gives each router a fixed share of each engine's capacity.
	Shares = "shares"
)

// Designs lists the designs in the order of the printed table.
var Designs = []string{Owner, Gossip, Shares}

const (
	// boundFactor is the multiple of the mean load that the load of an engine may not exceed.
	boundFactor = 1.25
	// stepSeconds is the time step of the simulation and the interval between samples of the load.
	stepSeconds = 0.1
	// requestRatePerEngine is in requests per second: 4,100 requests/s on 600 engines.
	// meanServiceSeconds is the mean duration of a request, which has about 215 tokens.
	requestRatePerEngine = 4100.0 / 600
	meanServiceSeconds   = 4.0
	// In the middle third of a run, a surge adds surgeRatio of the normal rate, spread over
	// surgeChatCount chats per 9 engines.
	surgeRatio, surgeChatCount = 0.5, 40
	// candidateCount is the number of engines tried for a request, in the order of their ranks.
	candidateCount = 8
	// meanAgeSeconds is the age of the mean load that routers know.
	meanAgeSeconds = 1.5
	// warmupSeconds is the time before the measurement starts. During its first unlimitedSeconds,
	// requests start without admission control. With admission control from the beginning, a queue
	// would build up in the idle fleet and be released during the measurement.
	warmupSeconds, unlimitedSeconds = 30.0, 10.0
	// gossipEntryBytes is the size of the load of one engine in a gossip message. By section 7 of
	// docs/design.md, 340 entries take about 7 KB.
	gossipEntryBytes = 20
	// A slot is the permission of the owner to start one request on an engine. slotExchangeBytes is
	// the size of the JSON-RPC messages that request, grant and return a slot. loadReportBytes is
	// the size of a load report for one pool and its response, including the same two messages
	// between availability zones.
	slotExchangeBytes, loadReportBytes = 480, 420
)

// Parameters holds the parameters of a simulation.
type Parameters struct {
	Design          string
	Routers         int
	Seed            uint64
	DurationSeconds int
	// NonOwnerRatio is the ratio of requests that first reach a router other than the owner of
	// their home engine. The home engine of a chat is its candidate of rank 0.
	NonOwnerRatio float64
	// ExtrapolateMean lets routers extrapolate a falling mean load.
	ExtrapolateMean bool
}

// simulation is the state of one run, in virtual time.
type simulation struct {
	Parameters
	random      *rand.Rand
	chatZipf    *rand.Zipf
	engineCount int
	loads       []int
	totalLoad   int
	// loadHistory holds the loads of all engines in the latest 100 steps, newest last.
	loadHistory [][]int
	completions completionHeap
	now         float64
	// inFlight counts the requests in flight from a router to an engine. recentPlacements holds the
	// times at which the router placed requests on the engine, for the Gossip design only.
	inFlight         map[routerEngine]int
	recentPlacements map[routerEngine][]float64
	waitingRequests  []request
	// slotRequestCount counts the requests that need a slot from another router.
	slotRequestCount int
	// result holds sums in its mean and ratio fields until Simulate divides them.
	result Result
	// requestCount counts the requests that arrive after the warm-up.
	requestCount int
}

type routerEngine struct{ router, engine int }

type request struct {
	chatID    uint64
	router    int
	arrivedAt float64
}

type completion struct {
	completesAt float64
	routerEngine
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].completesAt < h[j].completesAt }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Simulate runs one simulation and returns its measurements.
func Simulate(parameters Parameters) Result {
	// The fleet has 600 engines per 340 routers, but at least 9. The popularity of its chats, 5,000
	// per engine, follows a Zipf distribution.
	sim := &simulation{
		Parameters: parameters, random: rand.New(rand.NewPCG(parameters.Seed, 7)), engineCount: max(9, parameters.Routers*600/340),
		inFlight: map[routerEngine]int{}, recentPlacements: map[routerEngine][]float64{},
	}
	sim.chatZipf = rand.NewZipf(sim.random, 1.05, 50, uint64(5000*sim.engineCount))
	sim.loads = make([]int, sim.engineCount)
	sampleCount := 0
	for sim.now = 0; sim.now < float64(parameters.DurationSeconds)+warmupSeconds-stepSeconds/2; sim.now += stepSeconds {
		sim.completeRequests()
		sim.retryWaiting()
		sim.generateArrivals(sim.now - warmupSeconds)
		sim.loadHistory = append(sim.loadHistory, append([]int(nil), sim.loads...))
		if len(sim.loadHistory) > 100 {
			sim.loadHistory = sim.loadHistory[1:]
		}
		if sim.now >= warmupSeconds {
			sampleCount++
			sim.recordStep()
		}
	}
	sim.result.Design, sim.result.Routers, sim.result.Engines = parameters.Design, parameters.Routers, sim.engineCount
	sim.result.MeanSkew /= float64(sampleCount)
	sim.result.HomeRatio /= float64(sim.requestCount)
	sim.result.WaitedRatio /= float64(sim.requestCount)
	sim.result.MeanWaitSeconds /= float64(sim.requestCount)
	sim.result.ControlBytesPerSecond = sim.controlBytesPerSecond()
	return sim.result
}

// controlBytesPerSecond returns the control traffic of one router, sent and received.
func (s *simulation) controlBytesPerSecond() float64 {
	seconds := float64(s.DurationSeconds)
	// The factor 2 counts each message at its sender and at its receiver.
	switch s.Design {
	case Owner:
		ownedEngines := float64(s.engineCount) / float64(s.Routers)
		return 2*float64(s.slotRequestCount)/seconds/float64(s.Routers)*slotExchangeBytes + 2*ownedEngines*loadReportBytes
	case Gossip:
		return 2 * float64(s.engineCount) * gossipEntryBytes
	default:
		return 0
	}
}

func (s *simulation) completeRequests() {
	for len(s.completions) > 0 && s.completions[0].completesAt <= s.now {
		done := heap.Pop(&s.completions).(completion)
		s.loads[done.engine]--
		s.totalLoad--
		s.inFlight[done.routerEngine]--
	}
}

func (s *simulation) retryWaiting() {
	waiting := s.waitingRequests
	s.waitingRequests = nil
	for _, r := range waiting {
		s.placeRequest(r)
	}
}

// generateArrivals creates and places the requests that arrive in a step. elapsed is the time in
// seconds since the end of the warm-up.
func (s *simulation) generateArrivals(elapsed float64) {
	rate := requestRatePerEngine * float64(s.engineCount)
	third := float64(s.DurationSeconds) / 3
	extraRateRatio := 0.0
	if elapsed >= third && elapsed < 2*third {
		extraRateRatio = surgeRatio
	}
	for range s.poissonCount(rate * (1 + extraRateRatio) * stepSeconds) {
		chatID := s.chatZipf.Uint64()
		if s.random.Float64() < extraRateRatio/(1+extraRateRatio) {
			chatID = 1<<40 + s.random.Uint64N(surgeChatCount*uint64(s.engineCount)/9)
		}
		r := request{chatID, s.random.IntN(s.Routers), s.now}
		if s.now >= warmupSeconds {
			s.requestCount++
		}
		s.placeRequest(r)
	}
}

// poissonCount draws from a Poisson distribution by its normal approximation, which is close for
// the means used here.
func (s *simulation) poissonCount(mean float64) int {
	return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
}

// candidateEngine returns the candidate of a chat at the given rank. It approximates rendezvous
// hashing by an independent hash for each rank, so an engine can be a candidate at several ranks.
func (s *simulation) candidateEngine(chatID uint64, rank int) int {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], chatID)
	binary.LittleEndian.PutUint64(buf[8:], uint64(rank))
	return int(xxhash.Sum64(buf[:]) % uint64(s.engineCount))
}

// placeRequest starts a request, or queues it until the next step if no engine admits it.
func (s *simulation) placeRequest(r request) {
	rank := s.chooseRank(r)
	if rank < 0 {
		s.waitingRequests = append(s.waitingRequests, r)
		return
	}
	engine := s.candidateEngine(r.chatID, rank)
	if r.arrivedAt >= warmupSeconds {
		s.recordRequest(r, rank)
	}
	key := routerEngine{r.router, engine}
	s.loads[engine]++
	s.totalLoad++
	s.inFlight[key]++
	if s.Design == Gossip {
		s.recentPlacements[key] = append(s.recentPlacements[key], s.now)
	}
	heap.Push(&s.completions, completion{s.now + s.random.ExpFloat64()*meanServiceSeconds, key})
}

// recordRequest adds a request that starts at the engine of the given rank to the result.
func (s *simulation) recordRequest(r request, rank int) {
	if rank == 0 {
		s.result.HomeRatio++
	}
	if s.now > r.arrivedAt {
		s.result.WaitedRatio++
		s.result.MeanWaitSeconds += s.now - r.arrivedAt
	}
	if rank > 0 || s.random.Float64() < s.NonOwnerRatio {
		s.slotRequestCount++
	}
}

// chooseRank returns the rank of the engine to start the request on, or -1 if it has to wait.
func (s *simulation) chooseRank(r request) int {
	if s.now < unlimitedSeconds {
		return 0
	}
	switch s.Design {
	case Owner:
		return s.firstAdmittingRank(r, func(engine int) bool { return float64(s.loads[engine]+1) <= admissionLimit(s.estimatedMeanLoad()) })
	case Shares:
		// Each router may use an equal share of the capacity of an engine, but at least one
		// request, since routers with less could never use the engine. The capacity is the limit at
		// the load of the surge: with a share of the limit at the current load, the load could not
		// grow.
		maxInFlight := max(1, int(loadLimit(requestRatePerEngine*meanServiceSeconds*(1+surgeRatio))/float64(s.Routers)))
		return s.firstAdmittingRank(r, func(engine int) bool { return s.inFlight[routerEngine{r.router, engine}] < maxInFlight })
	default:
		return s.chooseRankByTwoChoices(r)
	}
}

// loadLimit is the bounded-load limit, with an allowance of one request.
func loadLimit(meanLoad float64) float64 { return boundFactor*meanLoad + 1 }

// admissionLimit is the load up to which an engine admits requests. The allowance of loadLimit
// stays unused, as a reserve for the time in which the mean load falls. At small loads,
// admissionLimit allows one request above the mean, since the bound alone would admit nothing.
func admissionLimit(meanLoad float64) float64 { return max(boundFactor*meanLoad, meanLoad+1) }

// firstAdmittingRank returns the rank of the first candidate that admits the request, or -1.
func (s *simulation) firstAdmittingRank(r request, admits func(engine int) bool) int {
	for rank := range candidateCount {
		if admits(s.candidateEngine(r.chatID, rank)) {
			return rank
		}
	}
	return -1
}

// chooseRankByTwoChoices returns 0, the rank of the home engine, if the observed load of that
// engine is within the limit. Otherwise it compares the other candidates in pairs. It returns the
// rank of the less loaded engine of the first pair in which that engine is within the limit, or -1.
func (s *simulation) chooseRankByTwoChoices(r request) int {
	maxLoad := admissionLimit(s.estimatedMeanLoad())
	for rank := 0; rank < candidateCount; rank++ {
		load := s.observedLoad(r.router, s.candidateEngine(r.chatID, rank))
		if rank == 0 && load+1 <= maxLoad {
			return 0
		}
		if rank == 0 {
			continue
		}
		bestRank := rank
		if rank+1 < candidateCount {
			if secondLoad := s.observedLoad(r.router, s.candidateEngine(r.chatID, rank+1)); secondLoad < load {
				bestRank, load = rank+1, secondLoad
			}
			rank++
		}
		if load+1 <= maxLoad {
			return bestRank
		}
	}
	return -1
}

// estimatedMeanLoad is the mean load that routers use: the latest known mean, reduced by the
// decrease extrapolated over its age. Without the extrapolation, a router admits too many requests
// while the load falls after a surge.
func (s *simulation) estimatedMeanLoad() float64 {
	latest := s.meanLoadAtAge(meanAgeSeconds)
	if !s.ExtrapolateMean {
		return latest
	}
	decrease := max(0, s.meanLoadAtAge(meanAgeSeconds+1)-latest)
	return latest - decrease*meanAgeSeconds
}

// meanLoadAtAge returns the mean load as it was ageSeconds ago.
func (s *simulation) meanLoadAtAge(ageSeconds float64) float64 {
	loads := s.loadsAtAge(ageSeconds)
	total := 0
	for _, load := range loads {
		total += load
	}
	return float64(total) / float64(s.engineCount)
}

// loadsAtAge returns the loads of all engines as they were ageSeconds ago.
func (s *simulation) loadsAtAge(ageSeconds float64) []int {
	if len(s.loadHistory) == 0 {
		return s.loads
	}
	return s.loadHistory[max(0, len(s.loadHistory)-1-int(ageSeconds/stepSeconds))]
}

// observedLoad returns the load of an engine that a router last received by gossip, plus the number
// of requests that the router placed there since. A hash of the router and the engine sets the
// age of the received load. The age is between 0.2 s and the sum of one gossip round, which takes
// 1 s, and half a round for each doubling of the number of routers.
func (s *simulation) observedLoad(router, engine int) float64 {
	key := routerEngine{router, engine}
	maxAgeSeconds := 1 + 0.5*math.Log2(float64(s.Routers))
	ageRatio := float64(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(router*s.engineCount+engine)))%1000) / 1000
	ageSeconds := 0.2 + ageRatio*(maxAgeSeconds-0.2)
	placedAt := s.recentPlacements[key]
	for len(placedAt) > 0 && placedAt[0] < s.now-ageSeconds {
		placedAt = placedAt[1:]
	}
	s.recentPlacements[key] = placedAt
	return float64(s.loadsAtAge(ageSeconds)[engine] + len(placedAt))
}

// recordStep adds the loads of the current step to the result.
func (s *simulation) recordStep() {
	maxLoad := 0
	for _, load := range s.loads {
		maxLoad = max(maxLoad, load)
	}
	meanLoad := float64(s.totalLoad) / float64(s.engineCount)
	if meanLoad == 0 {
		return
	}
	s.result.MeanSkew += float64(maxLoad) / meanLoad
	s.result.PeakSkew = max(s.result.PeakSkew, float64(maxLoad)/meanLoad)
	if float64(maxLoad) > loadLimit(meanLoad) {
		s.result.SecondsAboveBound += stepSeconds
	}
}
