// Package permit keeps the rate of requests to a backend server within the limit that the server
// states, over all routers together.
//
// Routers learn of a limit from the responses of the server and from each other; see Ledger. While
// a server is limited, one router is its issuer: IssuerOf determines it by rendezvous hashing. Each
// request to the server needs a permit, for which its router asks the issuer; see Issuer. So the
// limit holds no matter how many routers there are and how the traffic is spread over them, and a
// router that sends a request to a server once in a minute can still use its limit. A router that
// was denied a permit remembers for how long; see Denials. Pacer computes the retry delay of a
// request that no server takes.
//
// The same permits keep the rate at servers that have just started within what they withstand, see
// Cold, and that at overloaded services within what their servers have room for, see Capacity.
package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// minPerSecond is the rate at which permits are issued for a server that states a lower limit, even
// 0. Without any request, routers would never learn that the limit has changed.
const minPerSecond = 0.25

// Priorities range from 0, the most urgent, to lowestPriority.
const lowestPriority = 9

func clampPriority(p int) int { return min(max(0, p), lowestPriority) }

// IssuerOf returns the router that issues the permits for a server: the first one by rendezvous
// hashing. It returns an empty string if there are no routers. Equal lists give equal results in
// any order.
func IssuerOf(server string, routers []string) string {
	best, bestScore := "", uint64(0)
	var digest xxhash.Digest
	for _, router := range routers {
		digest.Reset()
		// Writing to a hash never fails.
		_, _ = digest.WriteString(server)
		_, _ = digest.WriteString("/")
		_, _ = digest.WriteString(router)
		if score := digest.Sum64(); best == "" || score > bestScore || score == bestScore && router < best {
			best, bestScore = router, score
		}
	}
	return best
}

// Answer is the answer to a request for a permit.
type Answer struct {
	// Granted is true if the request may be sent once Wait has passed. Otherwise, Wait is the time
	// after which a permit may be available.
	Granted bool
	Wait    time.Duration
}

// lifetime is the time after which a permit that was not used is void: its issuer has issued others
// in the place of requests that were not sent.
const lifetime = 250 * time.Millisecond

// IsExpired reports whether the permit has been held for so long that the request must not be sent
// any more, because the router was paused meanwhile. asked is when it was requested. The clock of a
// machine that was suspended stands still, but its time of day does not.
func (a Answer) IsExpired(asked, now time.Time) bool {
	held := max(now.Sub(asked), now.Round(0).Sub(asked.Round(0)))
	return held > a.Wait+lifetime
}

// PartOf returns the part of a limit that the issuers may issue which reach the given number of
// routers, including themselves, while they have lost others: these may have issuers of their own.
func PartOf(perSecond float64, reached, lost int) float64 {
	reached = max(1, reached)
	return perSecond * float64(reached) / float64(reached+lost)
}
