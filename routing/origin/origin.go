// Package origin determines at which software version of a service a stream may be resumed.
//
// Servers of several software versions may serve side by side, and a stream must go on at the
// version that began it. A client may resume its stream at any router, after the router that began
// it was killed. So before a router relays the first event of a stream, it tells a few other
// routers, the holders, which build began the stream; HoldersOf chooses them by rendezvous hashing.
// A router that resumes a stream asks the routers that most likely are its holders, and combines
// their answers with its own Ledger; see Inquiry. A stream of unknown origin is resumed only if its
// service had a single build for as long as a stream lasts, by the history that the registry holds
// when the client resumes it.
package origin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Stream identifies a stream: a hash of the ID of the attempt that brought its first event.
type Stream uint64

// StreamOf returns the key of the stream that an attempt has begun.
func StreamOf(attempt string) Stream { return Stream(xxhash.Sum64String(attempt)) }

// Build identifies one software version of one service; 0 stands for an unknown one.
type Build uint64

// BuildOf returns the key of a software version of a service.
func BuildOf(service, version string) Build {
	// The length separates the two names.
	return Build(xxhash.Sum64String(strconv.Itoa(len(service)) + "/" + service + version))
}

// Service is a hash of the name of a service.
type Service uint32

// ServiceOf returns the key of a service.
func ServiceOf(name string) Service { return Service(xxhash.Sum64String(name)) }
