package presence

// StreamOrigin tells, asks or answers at which build of a service a stream began; see package
// origin.
type StreamOrigin struct {
	// Number identifies the question among those of its sender. The answer has the same number.
	Number uint32
	Stream uint64
	// Recorded is the build that began the stream. Sole is the only build that may have begun it,
	// according to a router that has no record. Both are 0 if unknown, and in a question.
	Recorded, Sole uint64
	// Several is true if streams may be in progress at several builds. It is set in an answer only.
	Several bool
	// Service is the service of the stream, and Within how long the stream may last, in
	// milliseconds. Both are set in a question only.
	Service uint32
	Within  int64
}
