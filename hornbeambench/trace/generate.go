package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Shape describes a generated trace. The rates are long-term means; times are in seconds.
type Shape struct {
	// Bursts is the number of bursts, Length the length of each and Gap the time between their starts.
	Bursts      int
	Length, Gap float64
	// Rate is the number of new chats or returns a second within a burst.
	Rate float64
	// Wave is the amplitude of the rate around its mean over each burst, from 0 to 1.
	Wave float64
	// Return is the share of chats of a burst that come from earlier bursts.
	Return float64
	// Turns is the mean number of turns in a burst, and Think the mean pause between them.
	Turns, Think float64
	// Prompt and Answer are mean sizes in tokens, Prefix the size of the account's shared prefix.
	Prompt, Answer float64
	Prefix         int
	// Fixed is the share of requests that may not be repeated.
	Fixed float64
	// Accounts is the number of client accounts. Account sizes fall off as 1/rank.
	Accounts int
	// Surge multiplies the rate of account Surging between From and Until.
	Surge       float64
	Surging     string
	From, Until float64
}

// Mwalimu returns the shape of Mwalimu Bridge: bursts hours apart whose chats come back, a few large accounts.
func Mwalimu() Shape {
	return Shape{
		Bursts: 3, Length: 120, Gap: 5400, Rate: 18, Wave: 0.3, Return: 0.7, Turns: 3, Think: 10,
		Prompt: 150, Answer: 200, Prefix: 300, Fixed: 0.05, Accounts: 10,
	}
}

// Umgeni returns the shape of Umgeni: one long peak with a wave, short chats, many requests that may not be repeated.
func Umgeni() Shape {
	return Shape{
		Bursts: 1, Length: 300, Gap: 300, Rate: 25, Wave: 0.5, Turns: 2.5, Think: 15,
		Prompt: 120, Answer: 150, Prefix: 200, Fixed: 0.2, Accounts: 10,
	}
}

// Scaled returns the shape of the two-year size, divided by a factor: 4,100 requests a second and 9,000 accounts.
func Scaled(factor float64) Shape {
	return Shape{
		Bursts: 1, Length: 60, Gap: 60, Rate: 4100 / factor / 3, Turns: 3, Think: 10,
		Prompt: 150, Answer: 215, Prefix: 300, Fixed: 0.05, Accounts: max(10, int(9000/factor)),
	}
}

// Generate returns the requests of a shape. The same seed gives the same requests.
func Generate(s Shape, seed uint64) []Request {
	g := generator{shape: s, rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range s.Accounts {
		g.weights = append(g.weights, 1/float64(i+1))
		g.total += g.weights[i]
	}
	for b := range s.Bursts {
		g.burst(float64(b) * s.Gap)
	}
	g.surge()
	sortRequests(g.list)
	return g.list
}

type generator struct {
	shape   Shape
	rng     *rand.Rand
	weights []float64
	total   float64
	list    []Request
	// chats of earlier bursts with the number of their turns.
	chats []chat
}

type chat struct {
	name, account string
	turns         int
	end           float64
}

// burst adds a Poisson process of chats whose rate follows one wave.
func (g *generator) burst(start float64) {
	s := g.shape
	earlier := len(g.chats)
	t := 0.0
	for {
		t += g.rng.ExpFloat64() / (s.Rate * (1 + s.Wave))
		if t >= s.Length {
			return
		}
		wave := 1 - s.Wave*math.Cos(2*math.Pi*t/s.Length)
		if g.rng.Float64() > wave/(1+s.Wave) {
			continue
		}
		at := -1
		if earlier > 0 && g.rng.Float64() < s.Return {
			at = g.rng.IntN(earlier)
			if g.chats[at].end >= start {
				at = -1
			}
		}
		if at < 0 {
			g.chats = append(g.chats, chat{name: fmt.Sprintf("c%d", len(g.chats)+1), account: g.account()})
			at = len(g.chats) - 1
		}
		g.visit(start+t, &g.chats[at])
	}
}

// visit adds the turns of a chat in one burst.
func (g *generator) visit(at float64, c *chat) {
	s := g.shape
	class := [...]string{"normal", "normal", "normal", "urgent", "batch"}[g.rng.IntN(5)]
	for {
		c.turns++
		r := Request{
			At: at, Account: c.account, Chat: c.name, Turn: c.turns, Class: class, Prefix: s.Prefix,
			Prompt: g.size(s.Prompt), Answer: g.size(s.Answer), Repeat: g.rng.Float64() >= s.Fixed, Model: "m",
		}
		if c.turns > 1 {
			r.Think = at - c.end
		}
		g.list = append(g.list, r)
		// The nominal time of an answer: 3 ms a token and 0.1 s before the first.
		c.end = at + 0.1 + 0.003*float64(r.Answer)
		if g.rng.Float64() > 1-1/s.Turns {
			return
		}
		at = c.end + 1 + g.rng.ExpFloat64()*(s.Think-1)
	}
}

// surge adds chats of the surging account.
func (g *generator) surge() {
	s := g.shape
	if s.Surge <= 1 {
		return
	}
	share := 0.0
	for i, w := range g.weights {
		if name(i) == s.Surging {
			share = w / g.total
		}
	}
	rate := s.Rate * share * (s.Surge - 1)
	for t := s.From; ; {
		t += g.rng.ExpFloat64() / rate
		if t >= s.Until {
			return
		}
		g.visit(t, &chat{name: fmt.Sprintf("s%d", len(g.list)), account: s.Surging})
	}
}

func (g *generator) account() string {
	x := g.rng.Float64() * g.total
	for i, w := range g.weights {
		if x -= w; x < 0 {
			return name(i)
		}
	}
	return name(0)
}

func name(i int) string { return fmt.Sprintf("a%d", i+1) }

// size returns a log-normal size with the given mean, at most ten times that.
func (g *generator) size(mean float64) int {
	const sigma = 0.6
	x := mean * math.Exp(sigma*g.rng.NormFloat64()-sigma*sigma/2)
	return max(1, int(min(x, 10*mean)))
}
