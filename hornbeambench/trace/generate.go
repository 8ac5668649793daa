package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Workload defines the arrivals and sizes of the requests in a generated trace. Times are in
// seconds.
type Workload struct {
	// Bursts is the number of bursts, BurstSeconds the duration of each, and BurstInterval the time
	// between their starts.
	Bursts                      int
	BurstSeconds, BurstInterval float64
	// Rate is the mean number of chats that start or resume per second within a burst.
	Rate float64
	// RateAmplitude is the amplitude of the rate around its mean, relative to the mean, from 0 to
	// 1. The rate follows one period of a cosine over each burst.
	RateAmplitude float64
	// ResumeProbability is the probability that an arrival tries to resume a random chat of an
	// earlier burst. If that chat has a turn that ends after the start of the current burst, a new
	// chat starts instead.
	ResumeProbability float64
	// MeanTurns is the mean number of turns of a chat per burst, and MeanThinkTime the mean time
	// from the end of a turn to the next one.
	MeanTurns, MeanThinkTime float64
	// MeanPromptTokens and MeanCompletionTokens are the mean numbers of prompt and completion
	// tokens, and SharedPrefixTokens the number of tokens in the prompt prefix that all chats of an
	// account share.
	MeanPromptTokens, MeanCompletionTokens float64
	SharedPrefixTokens                     int
	// NonRetryableRatio is the ratio of requests that must not be executed more than once.
	NonRetryableRatio float64
	// Accounts is the number of client accounts. The n-th account has a weight of 1/n in the
	// traffic.
	Accounts int
	// SurgeFactor is the factor by which the rate of SurgeAccount increases between SurgeStart and
	// SurgeEnd.
	SurgeFactor          float64
	SurgeAccount         string
	SurgeStart, SurgeEnd float64
}

// BurstWorkload returns the workload of the operator Mwalimu Bridge (section 1.1 of
// docs/design.md): bursts that are hours apart, chats that resume in later bursts, and a few large
// accounts.
func BurstWorkload() Workload {
	return Workload{
		Bursts: 3, BurstSeconds: 120, BurstInterval: 5400, Rate: 18, RateAmplitude: 0.3,
		ResumeProbability: 0.7, MeanTurns: 3, MeanThinkTime: 10,
		MeanPromptTokens: 150, MeanCompletionTokens: 200,
		SharedPrefixTokens: 300, NonRetryableRatio: 0.05, Accounts: 10,
	}
}

// PeakWorkload returns the workload of the operator Umgeni (section 1.1 of docs/design.md): one
// long peak with a varying rate, short chats, and many requests that must not be executed more than
// once.
func PeakWorkload() Workload {
	return Workload{
		Bursts: 1, BurstSeconds: 300, BurstInterval: 300, Rate: 25, RateAmplitude: 0.5,
		MeanTurns: 2.5, MeanThinkTime: 15,
		MeanPromptTokens: 120, MeanCompletionTokens: 150,
		SharedPrefixTokens: 200, NonRetryableRatio: 0.2, Accounts: 10,
	}
}

// ScaledWorkload returns the workload expected in two years, scaled down by factor. With factor 1,
// it has 4,100 requests per second and 9,000 accounts. The rate of chats is a third of the rate of
// requests, because a chat has 3 turns on average.
func ScaledWorkload(factor float64) Workload {
	return Workload{
		Bursts: 1, BurstSeconds: 60, BurstInterval: 60, Rate: 4100 / factor / 3, MeanTurns: 3, MeanThinkTime: 10,
		MeanPromptTokens: 150, MeanCompletionTokens: 215,
		SharedPrefixTokens: 300, NonRetryableRatio: 0.05, Accounts: max(10, int(9000/factor)),
	}
}

// Generate returns the requests of a workload. The same seed gives the same requests.
func Generate(s Workload, seed uint64) []Request {
	g := generator{workload: s, rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range s.Accounts {
		g.accountWeights = append(g.accountWeights, 1/float64(i+1))
		g.totalWeight += g.accountWeights[i]
	}
	for burst := range s.Bursts {
		g.addBurst(float64(burst) * s.BurstInterval)
	}
	g.addSurge()
	sortRequests(g.requests)
	return g.requests
}

type generator struct {
	workload Workload
	rng      *rand.Rand
	// accountWeights holds the relative traffic of each account, and totalWeight their sum.
	accountWeights []float64
	totalWeight    float64
	requests       []Request
	// chats holds the chats of all bursts so far, without those of the surge.
	chats []chat
}

type chat struct {
	name, account string
	// turns is the number of turns so far, and end the nominal end of the last one.
	turns int
	end   float64
}

// addBurst adds the chats of a burst. Their arrivals are a Poisson process whose rate follows one
// period of a cosine. The process is sampled by thinning: candidates arrive at the maximum rate and
// are accepted in proportion to the current rate.
func (g *generator) addBurst(start float64) {
	s := g.workload
	earlierChats := len(g.chats)
	elapsed := 0.0
	for {
		elapsed += g.rng.ExpFloat64() / (s.Rate * (1 + s.RateAmplitude))
		if elapsed >= s.BurstSeconds {
			return
		}
		relativeRate := 1 - s.RateAmplitude*math.Cos(2*math.Pi*elapsed/s.BurstSeconds)
		if g.rng.Float64() > relativeRate/(1+s.RateAmplitude) {
			continue
		}
		index := -1
		if earlierChats > 0 && g.rng.Float64() < s.ResumeProbability {
			index = g.rng.IntN(earlierChats)
			if g.chats[index].end >= start {
				index = -1
			}
		}
		if index < 0 {
			g.chats = append(g.chats, chat{name: fmt.Sprintf("c%d", len(g.chats)+1), account: g.randomAccount()})
			index = len(g.chats) - 1
		}
		g.addTurns(start+elapsed, &g.chats[index])
	}
}

// addTurns adds the turns of a chat in one burst, the first of them at the given time.
func (g *generator) addTurns(at float64, c *chat) {
	s := g.workload
	class := [...]string{"normal", "normal", "normal", "urgent", "batch"}[g.rng.IntN(5)]
	for {
		c.turns++
		r := Request{
			At: at, Account: c.account, Chat: c.name, Turn: c.turns, Class: class, SharedPrefixTokens: s.SharedPrefixTokens,
			PromptTokens: g.tokenCount(s.MeanPromptTokens), CompletionTokens: g.tokenCount(s.MeanCompletionTokens), Retryable: g.rng.Float64() >= s.NonRetryableRatio, Model: "m",
		}
		if c.turns > 1 {
			r.ThinkSeconds = at - c.end
		}
		g.requests = append(g.requests, r)
		// The nominal duration of a completion is 0.1 s to the first token and 3 ms per token.
		c.end = at + 0.1 + 0.003*float64(r.CompletionTokens)
		if g.rng.Float64() > 1-1/s.MeanTurns {
			return
		}
		at = c.end + 1 + g.rng.ExpFloat64()*(s.MeanThinkTime-1)
	}
}

// addSurge adds the additional chats of SurgeAccount from SurgeStart to SurgeEnd. They arrive at a
// constant mean rate, also between bursts.
func (g *generator) addSurge() {
	s := g.workload
	if s.SurgeFactor <= 1 {
		return
	}
	share := 0.0
	for i, weight := range g.accountWeights {
		if accountName(i) == s.SurgeAccount {
			share = weight / g.totalWeight
		}
	}
	rate := s.Rate * share * (s.SurgeFactor - 1)
	for at := s.SurgeStart; ; {
		at += g.rng.ExpFloat64() / rate
		if at >= s.SurgeEnd {
			return
		}
		g.addTurns(at, &chat{name: fmt.Sprintf("s%d", len(g.requests)), account: s.SurgeAccount})
	}
}

// randomAccount returns an account that is chosen with a probability proportional to its weight.
func (g *generator) randomAccount() string {
	x := g.rng.Float64() * g.totalWeight
	for i, weight := range g.accountWeights {
		if x -= weight; x < 0 {
			return accountName(i)
		}
	}
	return accountName(0)
}

func accountName(index int) string { return fmt.Sprintf("a%d", index+1) }

// tokenCount returns a log-normally distributed number of tokens with the given mean, from 1 to ten
// times the mean.
func (g *generator) tokenCount(mean float64) int {
	const sigma = 0.6
	x := mean * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
	return max(1, int(min(x, 10*mean)))
}
