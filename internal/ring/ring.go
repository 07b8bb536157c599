// Package ring holds the ring buffers of a connection, one a direction, and the thin driver between them and
// its socket. It decides nothing.
package ring

const least = 4096 // bytes that a ring starts with

// Ring is a buffer that is read in the order it was written. It grows when full, up to most bytes.
type Ring struct {
	buf, spare []byte // spare: for spans that wrap
	head, n    int
	most       int
}

func New(most int) *Ring { return &Ring{most: most} }

func (r *Ring) Len() int { return r.n }

// Room gives a free stretch, to be filled from its start; none if the ring is full at its most.
func (r *Ring) Room() []byte {
	if r.n == len(r.buf) && !r.grow(r.n+1) {
		return nil
	}
	tail := r.head + r.n
	if tail >= len(r.buf) {
		return r.buf[tail-len(r.buf) : r.head]
	}
	return r.buf[tail:]
}

// Filled says that n bytes were put into Room.
func (r *Ring) Filled(n int) { r.n += n }

// Write adds p whole, or nothing and says false.
func (r *Ring) Write(p []byte) bool {
	if r.n+len(p) > len(r.buf) && !r.grow(r.n+len(p)) {
		return false
	}
	for len(p) > 0 {
		n := copy(r.Room(), p)
		r.n += n
		p = p[n:]
	}
	return true
}

// Head gives the first bytes, as far as they lie together.
func (r *Ring) Head() []byte { return r.buf[r.head:min(r.head+r.n, len(r.buf))] }

// Drop forgets the first n bytes. An empty ring that has grown gives its memory back.
func (r *Ring) Drop(n int) {
	r.n -= n
	if r.head += n; r.head >= len(r.buf) {
		r.head -= len(r.buf)
	}
	if r.n == 0 {
		if r.head = 0; len(r.buf) > least {
			r.buf, r.spare = nil, nil
		}
	}
}

func (r *Ring) At(i int) byte {
	if i += r.head; i >= len(r.buf) {
		i -= len(r.buf)
	}
	return r.buf[i]
}

// Span gives n bytes from the i-th on, in one piece; it holds until the ring changes or the next Span.
func (r *Ring) Span(i, n int) []byte {
	if i += r.head; i >= len(r.buf) {
		i -= len(r.buf)
	}
	if i+n <= len(r.buf) {
		return r.buf[i : i+n]
	}
	at := len(r.spare) // spans of one value hold together
	r.spare = append(append(r.spare, r.buf[i:]...), r.buf[:i+n-len(r.buf)]...)
	return r.spare[at:]
}

// Loosen ends the hold of all spans.
func (r *Ring) Loosen() { r.spare = r.spare[:0] }

func (r *Ring) grow(need int) bool {
	size := max(2*len(r.buf), least)
	for size < need {
		size *= 2
	}
	if size = min(size, r.most); size < need {
		return false
	}
	buf := make([]byte, size)
	n := copy(buf, r.Head())
	copy(buf[n:], r.buf[:r.n-n])
	r.buf, r.head = buf, 0
	return true
}
