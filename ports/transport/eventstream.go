package transport

// EventScanner follows the text of a stream of server-sent events and tells whether it ends at the
// end of an event. Lines end with a line feed, a carriage return or both. The zero value is at the
// start of a stream.
type EventScanner struct {
	// inLine is true within a line, and inComment if this line is a comment.
	inLine, inComment bool
	// inEvent is true after a line that is not a comment, until the next blank line.
	inEvent bool
	// hasEvent is true after the end of the first event.
	hasEvent bool
	// afterCR is true after a carriage return, which ends a line together with a line feed that
	// follows it.
	afterCR bool
}

// Scan adds the next part of the stream.
func (s *EventScanner) Scan(text []byte) {
	for _, b := range text {
		s.add(b)
	}
}

func (s *EventScanner) add(b byte) {
	switch {
	case b == '\n' && s.afterCR:
		s.afterCR = false
	case b == '\n', b == '\r':
		s.hasEvent = s.hasEvent || s.inEvent && !s.inLine
		s.inEvent = s.inLine && (s.inEvent || !s.inComment)
		s.inLine, s.afterCR = false, b == '\r'
	case !s.inLine:
		s.inLine, s.inComment, s.afterCR = true, b == ':', false
	}
}

// InEvent reports whether the text ends within a line or an event. Clients discard such an event, so a
// stream that ends there is truncated, also if its body has a length or chunks and is complete.
func (s *EventScanner) InEvent() bool { return s.inLine || s.inEvent }

// HasEvent reports whether the text has a complete event.
func (s *EventScanner) HasEvent() bool { return s.hasEvent }
