package control

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/outcome"
	"hornbeamstep.example/routing/quarantine"
	"hornbeamstep.example/timeline"
)

const (
	// partAnnounceInterval is the time between two announcements of prompt parts that crash engines.
	partAnnounceInterval = 250 * time.Millisecond
	// maxPartsAnnounced is the largest number of prompt parts in one announcement, and maxPartsLogged
	// in one log line. Receivers reject more than peer.MaxParts.
	maxPartsAnnounced, maxPartsLogged = 16, 16
)

// partError returns an error if engines crash when they begin to answer chats with the messages of
// the request, and nil otherwise.
func (l *Loop) partError(request caller.SlotRequest) *outcome.Error {
	if len(request.Parts) == 0 {
		return nil
	}
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	l.updateParts(l.Now())
	parts := l.parts.Rejects(request.Parts)
	if len(parts) == 0 {
		return nil
	}
	var names []string
	for i, part := range request.Parts {
		if slices.Contains(parts, part) {
			names = append(names, fmt.Sprintf("messages[%d]", i))
		}
	}
	return &outcome.Error{
		Code: outcome.Quarantined, Outcome: outcome.NotRun, Status: http.StatusUnprocessableEntity,
		Message: "engines crash when they begin to answer chats with " + strings.Join(names, ", "),
		Remedy:  "change this part of the chat; it is released some minutes after the last crash",
	}
}

// RecordAnswer implements caller.Dispatcher.
func (l *Loop) RecordAnswer(model string, parts []quarantine.PartKey) {
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	l.parts.RecordAnswer(l.Now(), model, parts)
}

// MergeParts implements peer.Parts.
func (l *Loop) MergeParts(reports []quarantine.PartReport) {
	l.init()
	l.trackerMu.Lock()
	defer l.trackerMu.Unlock()
	l.parts.Merge(l.Now(), reports)
}

// announceParts tells other routers what this router knows about prompt parts that may crash
// engines.
func (l *Loop) announceParts() {
	l.trackerMu.Lock()
	l.updateParts(l.Now())
	reports := l.parts.Outgoing(l.Now(), true, maxPartsAnnounced)
	l.trackerMu.Unlock()
	if len(reports) > 0 {
		l.Peers.AnnounceParts(reports)
	}
}

// updateParts decides which prompt parts are quarantined and records the changes. The caller must
// hold trackerMu.
func (l *Loop) updateParts(now time.Time) {
	var requests [][]quarantine.CrashKey
	if l.parts.HasCandidates() {
		for _, e := range l.tracker.List(now) {
			if e.Quarantined {
				requests = append(requests, quarantine.KeysOf(e.Crashes))
			}
		}
	}
	added, released := l.parts.Update(now, requests)
	l.recordParts("quarantined: engines that begin to answer chats with them crash", added)
	l.recordParts("released", released)
}

func (l *Loop) recordParts(change string, parts []quarantine.PartKey) {
	if len(parts) == 0 {
		return
	}
	var keys []string
	for _, part := range parts[:min(len(parts), maxPartsLogged)] {
		keys = append(keys, strconv.FormatUint(uint64(part), 16))
	}
	l.record(timeline.Event{Kind: timeline.Quarantined, Text: "messages " + strings.Join(keys, " ") + " " + change})
	l.Log.Warn("messages "+change, zap.Strings("keys", keys))
}
