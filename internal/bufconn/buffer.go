// Package bufconn provides the ring buffers of a connection, one for each direction, and the thin driver between them and its
// socket. It knows no protocol.
package bufconn

const minSize = 4096 // bytes of a ring's first buffer

// Buffer is a byte buffer that is read in the order in which it was written. It grows when full, up to a limit.
type Buffer struct {
	buf     []byte
	wrapped []byte // copies of spans that wrap around the end of buf
	head    int    // index of the first byte in buf
	length  int    // bytes held
	maxSize int    // bytes that buf may grow to
}

// NewBuffer returns an empty ring that grows up to maxSize bytes.
func NewBuffer(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Len returns the number of bytes held.
func (r *Buffer) Len() int { return r.length }

// FreeSpace returns free space to be filled from its start, or none if the ring is full and may not grow.
func (r *Buffer) FreeSpace() []byte {
	if r.length == len(r.buf) && !r.grow(r.length+1) {
		return nil
	}
	tail := r.head + r.length
	if tail >= len(r.buf) {
		return r.buf[tail-len(r.buf) : r.head]
	}
	return r.buf[tail:]
}

// Extend appends the first n bytes of the last Room to the ring.
func (r *Buffer) Extend(n int) { r.length += n }

// Write appends all of p, or returns false and appends nothing if there is no room.
func (r *Buffer) Write(p []byte) bool {
	if r.length+len(p) > len(r.buf) && !r.grow(r.length+len(p)) {
		return false
	}
	for len(p) > 0 {
		n := copy(r.FreeSpace(), p)
		r.length += n
		p = p[n:]
	}
	return true
}

// Head returns the first bytes, as far as they are contiguous.
func (r *Buffer) Head() []byte { return r.buf[r.head:min(r.head+r.length, len(r.buf))] }

// Drop removes the first n bytes. An empty ring that has grown releases its memory.
func (r *Buffer) Drop(n int) {
	r.length -= n
	r.head += n
	if r.head >= len(r.buf) {
		r.head -= len(r.buf)
	}
	if r.length > 0 {
		return
	}
	r.head = 0
	if len(r.buf) > minSize {
		r.buf = nil
		r.wrapped = nil
	}
}

// At returns the byte at an offset from the first one.
func (r *Buffer) At(offset int) byte { return r.buf[r.index(offset)] }

// index returns the place in buf of the byte at an offset.
func (r *Buffer) index(offset int) int {
	i := r.head + offset
	if i >= len(r.buf) {
		i -= len(r.buf)
	}
	return i
}

// Span returns bytes from an offset on as one slice. It is valid until the ring changes or Loosen is called.
func (r *Buffer) Span(offset, length int) []byte {
	start := r.index(offset)
	if start+length <= len(r.buf) {
		return r.buf[start : start+length]
	}
	first := len(r.wrapped) // earlier spans stay valid
	r.wrapped = append(r.wrapped, r.buf[start:]...)
	r.wrapped = append(r.wrapped, r.buf[:start+length-len(r.buf)]...)
	return r.wrapped[first:]
}

// ReleaseSpans ends the validity of all spans, so that their copies are reused.
func (r *Buffer) ReleaseSpans() { r.wrapped = r.wrapped[:0] }

// grow moves the bytes to a larger buffer, or returns false if so many bytes are not allowed.
func (r *Buffer) grow(needed int) bool {
	size := max(2*len(r.buf), minSize)
	for size < needed {
		size *= 2
	}
	size = min(size, r.maxSize)
	if size < needed {
		return false
	}
	buf := make([]byte, size)
	n := copy(buf, r.Head())
	copy(buf[n:], r.buf[:r.length-n])
	r.buf = buf
	r.head = 0
	return true
}
