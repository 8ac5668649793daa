package memory

import (
	"errors"
	"io"
)

// ReadUpTo reads at most limit bytes, as far as grow allows the capacity of the body. isWhole is true if
// that is all. length is the length that the sender states, negative if unknown. Once more than Uncounted
// bytes have arrived, a body of a known length gets all its memory, because each copy to a larger buffer
// leaves garbage that no account knows.
func ReadUpTo(reader io.Reader, limit int, length int64, grow func(capacity int) bool) (body []byte, isWhole bool, err error) {
	isLengthKnown := length >= 0 && length < int64(limit)
	if isLengthKnown {
		// One more byte, because the end may come after the last byte.
		limit = int(length) + 1
	}
	for {
		if len(body) == cap(body) {
			capacity := min(limit, max(Uncounted, 2*cap(body)))
			if isLengthKnown && len(body) > 0 {
				capacity = limit
			}
			if len(body) == limit || !grow(capacity) {
				return body, false, nil
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
}
