package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/quarantine"
)

// crashFleet simulates routers that exchange reports as heartbeats do, and servers that crash.
// Events take place in steps of simulated time.
type crashFleet struct {
	random  *rand.Rand
	now     time.Time
	routers []*CrashTracker
	zones   int
	// loss is the share of messages between routers that are lost.
	loss    float64
	servers []*simulatedServer
	// deadly holds the parts that crash a server when it begins to answer.
	deadly   map[string]bool
	inFlight []*simulatedRequest
	// crashes are the times of the crashes, and deadlySent those at which a deadly request was sent
	// to a server.
	crashes, deadlySent []time.Time
	requests            int
	// sound holds the sound requests that came while a server ran, and rejected counts those that
	// were rejected at their first attempt or a later one.
	sound    []soundRequest
	rejected int
}

type soundRequest struct {
	kind string
	at   time.Time
	// begun is true if the request reached a server at its first attempt.
	begun bool
}

type simulatedServer struct {
	process int
	// backAt is when the server runs again after a crash.
	backAt time.Time
}

type simulatedRequest struct {
	suspect
	kind            string
	router, server  int
	deadly, retried bool
	answerAt, endAt time.Time
	answered        bool
}

const (
	contactTime    = 3 * time.Second
	fleetStep      = 10 * time.Millisecond
	hubsPerZone    = 2
	crashDelay     = 50 * time.Millisecond
	serverRestart  = 3 * time.Second
	maxMeshRouters = 12
	simulatedModel = "m"
	// maxSentLate is the number of deadly requests that may be sent too late.
	maxSentLate = 3
)

func newCrashFleet(seed uint64, routers, servers int) *crashFleet {
	f := &crashFleet{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), zones: 3, deadly: map[string]bool{},
	}
	for range routers {
		f.routers = append(f.routers, NewCrashTracker())
	}
	for range servers {
		f.servers = append(f.servers, &simulatedServer{})
	}
	return f
}

// exchange sends the reports of a router. In a fleet with hubs, a router sends them to the hubs of
// its zone, and a hub to the routers of its zone and to the other hubs.
func (f *crashFleet) exchange(from int) {
	hub := func(i int) bool { return i < f.zones*hubsPerZone }
	mesh := len(f.routers) <= maxMeshRouters
	reports := f.routers[from].OutgoingParts(f.now, mesh || hub(from))
	entries := f.routers[from].Outgoing(f.now, mesh || hub(from))
	for to, r := range f.routers {
		sameZone := to%f.zones == from%f.zones
		if f.chance(f.loss) {
			continue
		}
		if to != from && (mesh || hub(to) && (sameZone || hub(from)) || hub(from) && sameZone) {
			r.MergeParts(f.now, reports)
			r.Merge(f.now, entries)
		}
	}
}

// send lets a request arrive at a router, or tries it again.
func (f *crashFleet) send(r *simulatedRequest) {
	var live []int
	for i, s := range f.servers {
		if !s.backAt.After(f.now) {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return
	}
	rejected := f.routers[r.router].rejectionReason(f.now, r.suspect) != ""
	if !r.deadly && !r.retried {
		f.sound = append(f.sound, soundRequest{r.kind, f.now, !rejected})
	}
	if rejected {
		if !r.deadly {
			f.rejected++
		}
		return
	}
	if r.deadly {
		f.deadlySent = append(f.deadlySent, f.now)
	}
	r.server = live[f.random.IntN(len(live))]
	r.answerAt = f.now.Add(crashDelay + time.Duration(f.random.IntN(250))*time.Millisecond)
	r.endAt = r.answerAt.Add(time.Duration(f.random.IntN(2000)) * time.Millisecond)
	f.inFlight = append(f.inFlight, r)
}

// arrive sends a new request with the given parts, and a last part of its own.
func (f *crashFleet) arrive(kind, account string, parts ...string) {
	f.requests++
	r := &simulatedRequest{kind: kind, router: f.random.IntN(len(f.routers))}
	r.attempt = fmt.Sprint("request-", f.requests)
	r.fingerprint = fmt.Sprint(account, "/", f.requests)
	f.sendWith(r, parts)
}

func (f *crashFleet) sendWith(r *simulatedRequest, parts []string) {
	r.partIDs = parts
	for _, p := range parts {
		r.parts = append(r.parts, quarantine.PartKeyOf(simulatedModel, p))
		r.deadly = r.deadly || f.deadly[p]
	}
	f.send(r)
}

// crash stops a server. Requests without an answer are tried once more.
func (f *crashFleet) crash(server int) {
	s := f.servers[server]
	crash := quarantine.Crash{Engine: fmt.Sprint("s", server), Boot: fmt.Sprint(s.process)}
	s.process++
	s.backAt = f.now.Add(serverRestart)
	f.crashes = append(f.crashes, f.now)
	var others, retries []*simulatedRequest
	for _, r := range f.inFlight {
		if r.server != server {
			others = append(others, r)
			continue
		}
		f.routers[r.router].recordCrash(f.now, r.suspect, r.answered, crash)
		if !r.answered && !r.retried {
			r.retried = true
			retries = append(retries, r)
		}
	}
	f.inFlight = others
	for _, r := range retries {
		f.send(r)
	}
}

// step lets the requests in flight and the heartbeats go on.
func (f *crashFleet) step(number int) {
	f.now = f.now.Add(fleetStep)
	crashed := map[int]bool{}
	var remaining []*simulatedRequest
	for _, r := range f.inFlight {
		switch {
		case f.now.Before(r.answerAt):
		case r.deadly:
			crashed[r.server] = true
		case !r.answered:
			r.answered = true
			f.routers[r.router].recordAnswer(f.now, r.suspect)
		}
		if !r.answered || f.now.Before(r.endAt) {
			remaining = append(remaining, r)
		}
	}
	f.inFlight = remaining
	for i := range f.servers {
		if crashed[i] {
			f.crash(i)
		}
	}
	interval := 20
	if len(f.routers) > maxMeshRouters {
		interval = 40
	}
	for i := range f.routers {
		if (number+7*i)%interval == 0 {
			f.exchange(i)
		}
	}
}

// run simulates a duration. At each step, each kind of request comes with its probability.
func (f *crashFleet) run(d time.Duration, traffic func(step int)) {
	for i := range int(d / fleetStep) {
		traffic(i)
		f.step(i)
	}
}

// sentLate returns the number of deadly requests that were sent later than contactTime after the
// fifth crash.
func (f *crashFleet) sentLate() int {
	n := 0
	for _, at := range f.deadlySent {
		if len(f.crashes) >= 5 && at.Sub(f.crashes[4]) > contactTime {
			n++
		}
	}
	return n
}

// soundShares returns the share of the sound requests of each kind that reached a server at the
// first attempt, from twice contactTime after the fifth crash, or the last one if there are fewer.
func (f *crashFleet) soundShares() map[string]float64 {
	from := f.crashes[min(len(f.crashes), 5)-1].Add(2 * contactTime)
	asked, begun := map[string]float64{}, map[string]float64{}
	for _, r := range f.sound {
		if r.at.Before(from) {
			continue
		}
		asked[r.kind]++
		if r.begun {
			begun[r.kind]++
		}
	}
	for kind, n := range asked {
		begun[kind] /= n
	}
	return begun
}

func (f *crashFleet) chance(p float64) bool { return f.random.Float64() < p }

// Guards against a part of prompts that crashes one server after another because no two requests
// with it are alike, and against a quarantine of what sound requests share with them.
func TestPromptPartCrashesServers(t *testing.T) {
	office := func(f *crashFleet) string { return fmt.Sprint("office-", f.random.IntN(20)) }
	cases := map[string]struct {
		routers, servers int
		// loss is the share of messages between routers that are lost.
		loss float64
		// rate is the number of deadly requests in a second.
		rate   float64
		deadly string
		// shared returns the parts of a deadly request that other requests may share.
		shared func(f *crashFleet) []string
	}{
		"second part":                    {8, 9, 0, 1, "bad", func(*crashFleet) []string { return []string{"letter", "bad"} }},
		"second part with shared others": {8, 9, 0, 1, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} }},
		"first part":                     {8, 9, 0, 1, "bad", func(f *crashFleet) []string { return []string{"bad", office(f)} }},
		"known part turns deadly":        {8, 9, 0, 1, "office-3", func(*crashFleet) []string { return []string{"letter", "office-3"} }},
		"often":                          {8, 9, 0, 4, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} }},
		"rarely":                         {8, 9, 0, 0.3, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} }},
		"lost messages":                  {8, 9, 0.2, 1, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} }},
		"few servers":                    {6, 3, 0, 1, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} }},
		"hubs":                           {60, 60, 0.1, 3, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} }},
		"hubs, ten crashes in half a second": {
			60, 60, 0.1, 20, "bad", func(f *crashFleet) []string { return []string{"letter", "bad", office(f)} },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newCrashFleet(seed, c.routers, c.servers)
				f.loss = c.loss
				scale := float64(c.routers) / 8
				sound := func() {
					office := fmt.Sprint("office-", f.random.IntN(20))
					if f.chance(0.18 * scale) {
						if office == c.deadly {
							office = "office-0"
						}
						f.arrive("same first part", "a", "letter", office)
					}
					if f.chance(0.10 * scale) {
						f.arrive("same account, other parts", "a", "summary", fmt.Sprint("visit-", f.random.IntN(200)))
					}
					if f.chance(0.05 * scale) {
						f.arrive("same second part", "b", "match", fmt.Sprint("office-", 10+f.random.IntN(10)))
					}
				}
				f.run(4*time.Second, func(int) {
					sound()
					if f.chance(0.01) {
						f.arrive("later deadly", "a", "letter", c.deadly)
					}
				})
				f.deadly[c.deadly] = true
				f.run(30*time.Second, func(int) {
					sound()
					if f.chance(c.rate * fleetStep.Seconds()) {
						f.arrive("deadly", "a", c.shared(f)...)
					}
				})
				qt.Check(t, len(f.crashes) >= 3, qt.IsTrue, qt.Commentf("seed %d: %d crashes", seed, len(f.crashes)))
				qt.Check(t, f.sentLate() <= maxSentLate, qt.IsTrue, qt.Commentf("seed %d: %d requests sent too late, %d crashes", seed, f.sentLate(), len(f.crashes)))
				shares := f.soundShares()
				qt.Check(t, shares, qt.HasLen, 3)
				for kind, share := range shares {
					qt.Check(t, share > 0.9, qt.IsTrue, qt.Commentf("seed %d: %s: %.2f begun", seed, kind, share))
				}
			}
		})
	}
}

// Guards against a quarantine of parts that were at servers which crashed for other reasons.
func TestOtherCrashesQuarantineNoPart(t *testing.T) {
	cases := map[string]func(f *crashFleet, step int){
		"two servers at once": func(f *crashFleet, step int) {
			if step == 300 {
				f.crash(0)
				f.crash(1)
			}
		},
		"all servers at once": func(f *crashFleet, step int) {
			if step == 300 {
				for i := range f.servers {
					f.crash(i)
				}
			}
		},
		"one after another": func(f *crashFleet, step int) {
			if step%40 == 0 {
				f.crash(step / 40 % len(f.servers))
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				f := newCrashFleet(seed, 8, 9)
				f.run(15*time.Second, func(step int) {
					if f.chance(0.3) {
						f.arrive("letter", "a", "letter", fmt.Sprint("office-", f.random.IntN(20)))
					}
					if f.chance(0.3) {
						f.arrive("summary", "a", "summary", fmt.Sprint("visit-", f.random.IntN(200)))
					}
					disturb(f, step)
				})
				qt.Check(t, f.rejected, qt.Equals, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// Guards against a request that is sent again and again, crashes servers, and takes a rare part of
// its prompt into quarantine with it.
func TestCrashingRequestSparesItsParts(t *testing.T) {
	for seed := range uint64(5) {
		f := newCrashFleet(seed, 8, 9)
		f.run(20*time.Second, func(step int) {
			if f.chance(0.5) {
				f.arrive("letter", "a", "letter", fmt.Sprint("office-", f.random.IntN(20)))
			}
			if step%100 == 50 && step > 300 {
				r := &simulatedRequest{kind: "crashing", router: f.random.IntN(len(f.routers)), deadly: true, suspect: suspect{fingerprint: "same"}}
				f.sendWith(r, []string{"letter", "rare"})
			}
			if step > 1000 && step%200 == 0 {
				f.arrive("rare", "a", "letter", "rare")
			}
		})
		qt.Check(t, len(f.crashes) <= 5, qt.IsTrue, qt.Commentf("seed %d: %d crashes", seed, len(f.crashes)))
		qt.Check(t, f.rejected, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}
