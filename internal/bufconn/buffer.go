// Package bufconn provides the buffers of a connection, one for each direction, and the driver between them and its
// socket. It knows no protocol.
package bufconn

// minBufferBytes is the size of a buffer's first memory.
const minBufferBytes = 4096

// Buffer is a ring buffer: bytes are read in the order in which they were written. It grows when full, up to a limit.
type Buffer struct {
	buf     []byte
	wrapped []byte // copies of spans that wrap around the end of buf
	head    int    // index of the first byte in buf
	length  int    // bytes in the buffer
	maxSize int    // bytes that buf may grow to
}

// NewBuffer returns an empty buffer that grows up to maxSize bytes.
func NewBuffer(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return b.length }

// FreeSpace returns free memory to be filled from its start, or none if the buffer is full and may not grow.
func (b *Buffer) FreeSpace() []byte {
	if b.length == len(b.buf) && !b.grow(b.length+1) {
		return nil
	}
	tail := b.head + b.length
	if tail >= len(b.buf) {
		return b.buf[tail-len(b.buf) : b.head]
	}
	return b.buf[tail:]
}

// Extend appends the first n bytes of the latest FreeSpace to the buffer.
func (b *Buffer) Extend(n int) { b.length += n }

// Write appends all of p, or returns false and appends nothing if it does not fit.
func (b *Buffer) Write(p []byte) bool {
	if b.length+len(p) > len(b.buf) && !b.grow(b.length+len(p)) {
		return false
	}
	for len(p) > 0 {
		n := copy(b.FreeSpace(), p)
		b.length += n
		p = p[n:]
	}
	return true
}

// Head returns the first bytes, as far as they are contiguous.
func (b *Buffer) Head() []byte { return b.buf[b.head:min(b.head+b.length, len(b.buf))] }

// Drop removes the first n bytes. An empty buffer that has grown releases its memory.
func (b *Buffer) Drop(n int) {
	b.length -= n
	b.head += n
	if b.head >= len(b.buf) {
		b.head -= len(b.buf)
	}
	if b.length > 0 {
		return
	}
	b.head = 0
	if len(b.buf) > minBufferBytes {
		b.buf = nil
		b.wrapped = nil
	}
}

// At returns the byte at an offset from the first one.
func (b *Buffer) At(offset int) byte { return b.buf[b.index(offset)] }

// index returns the index in buf of the byte at an offset.
func (b *Buffer) index(offset int) int {
	i := b.head + offset
	if i >= len(b.buf) {
		i -= len(b.buf)
	}
	return i
}

// Span returns bytes from an offset on as one slice. It is valid until the buffer changes or ReleaseSpans is called.
func (b *Buffer) Span(offset, length int) []byte {
	start := b.index(offset)
	if start+length <= len(b.buf) {
		return b.buf[start : start+length]
	}
	first := len(b.wrapped) // earlier spans stay valid
	b.wrapped = append(b.wrapped, b.buf[start:]...)
	b.wrapped = append(b.wrapped, b.buf[:start+length-len(b.buf)]...)
	return b.wrapped[first:]
}

// ReleaseSpans ends the validity of all spans, so that their copies are reused.
func (b *Buffer) ReleaseSpans() { b.wrapped = b.wrapped[:0] }

// grow moves the bytes to larger memory, or returns false if the needed size exceeds the limit.
func (b *Buffer) grow(needed int) bool {
	size := max(2*len(b.buf), minBufferBytes)
	for size < needed {
		size *= 2
	}
	size = min(size, b.maxSize)
	if size < needed {
		return false
	}
	buf := make([]byte, size)
	n := copy(buf, b.Head())
	copy(buf[n:], b.buf[:b.length-n])
	b.buf = buf
	b.head = 0
	return true
}
