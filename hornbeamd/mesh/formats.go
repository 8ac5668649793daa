package mesh

import (
	"slices"
	"sync"
	"time"
)

const (
	// formatTTL is how long the format of a router counts after its latest datagram.
	formatTTL = time.Minute
	// maxKnownFormats limits the addresses whose format is kept. Any program can send datagrams.
	maxKnownFormats = 4096
)

// peerFormats knows which format the routers read, by their heartbeat address: the one in which they
// write. It is safe for concurrent use; the zero value knows no routers.
type peerFormats struct {
	mu    sync.Mutex
	known map[string]heardFormat
	// heardAt is when a datagram in each format last arrived.
	heardAt map[int]time.Time
}

type heardFormat struct {
	format int
	at     time.Time
}

// record records that a datagram in a format arrived from an address.
func (p *peerFormats) record(now time.Time, address string, format int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known, p.heardAt = map[string]heardFormat{}, map[int]time.Time{}
	}
	if _, known := p.known[address]; !known && len(p.known) >= maxKnownFormats {
		for other, heard := range p.known {
			if now.Sub(heard.at) > formatTTL {
				delete(p.known, other)
			}
		}
		if len(p.known) >= maxKnownFormats {
			return
		}
	}
	p.known[address], p.heardAt[format] = heardFormat{format, now}, now
}

// of returns the formats in which to write to an address: that which the router reads, or else all that
// routers have used lately. A router that has heard nothing yet writes in all formats, as the others may
// be of any release.
func (p *peerFormats) of(now time.Time, address string) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if heard, known := p.known[address]; known && now.Sub(heard.at) <= formatTTL {
		return []int{heard.format}
	}
	formats := []int{newestFormat}
	for format, at := range p.heardAt {
		if format != newestFormat && now.Sub(at) <= formatTTL {
			formats = append(formats, format)
		}
	}
	if len(p.heardAt) == 0 {
		for format := oldestFormat; format < newestFormat; format++ {
			formats = append(formats, format)
		}
	}
	slices.Sort(formats)
	return formats
}
