package mesh

import (
	"maps"
	"sync"
	"time"
)

const (
	// formatTTL is how long the format of a router counts after its latest datagram.
	formatTTL = time.Minute
	// rollbackTime is how long a router must have written in an earlier format only to count as replaced by
	// an earlier release. Until then it does so because it does not know yet what this router reads.
	rollbackTime = 2 * time.Second
	// upgradeInterval is the time between two datagrams in the newest format to a router that writes in an
	// earlier one. If both only answered in kind, two routers of this release could stay at that format.
	upgradeInterval = time.Second
	// maxKnownFormats limits the addresses whose format is kept. Any program can send datagrams.
	maxKnownFormats = 4096
)

// peerFormats knows which format the routers read, by their heartbeat address: the newest in which they
// write. It is safe for concurrent use; the zero value knows no routers.
type peerFormats struct {
	mu    sync.Mutex
	known map[string]*peerFormat
	// heardAt is when a datagram in each format last arrived.
	heardAt map[int]time.Time
}

// peerFormat is the newest format in which a router writes, and when it last did. latest is when its latest
// datagram in any format arrived, and upgradedAt when it was last sent one in the newest format besides.
type peerFormat struct {
	format             int
	at                 time.Time
	latest, upgradedAt time.Time
}

// record records that a datagram in a format arrived from an address.
func (p *peerFormats) record(now time.Time, address string, format int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known, p.heardAt = map[string]*peerFormat{}, map[int]time.Time{}
	}
	p.heardAt[format] = now
	peer := p.known[address]
	if peer == nil {
		if len(p.known) >= maxKnownFormats {
			maps.DeleteFunc(p.known, func(_ string, o *peerFormat) bool { return now.Sub(o.latest) > formatTTL })
		}
		if len(p.known) >= maxKnownFormats {
			return
		}
		peer = &peerFormat{}
		p.known[address] = peer
	}
	peer.latest = now
	if format >= peer.format || now.Sub(peer.at) >= rollbackTime {
		peer.format, peer.at = format, now
	}
}

// of returns the formats in which to write to an address: that which the router reads, or else all that
// routers have used lately. A router that has heard nothing yet writes in all formats, as the others may
// be of any release. The newest one comes first.
func (p *peerFormats) of(now time.Time, address string) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.known[address]; peer != nil && now.Sub(peer.latest) <= formatTTL {
		if peer.format < newestFormat && now.Sub(peer.upgradedAt) >= upgradeInterval {
			peer.upgradedAt = now
			return []int{newestFormat, peer.format}
		}
		return []int{peer.format}
	}
	formats := []int{newestFormat}
	for format := newestFormat - 1; format >= oldestFormat; format-- {
		at, heard := p.heardAt[format]
		if len(p.heardAt) == 0 || heard && now.Sub(at) <= formatTTL {
			formats = append(formats, format)
		}
	}
	return formats
}
