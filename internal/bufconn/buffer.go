// Package bufconn reads and writes a TCP connection through two ring buffers, one for each direction. It knows nothing
// of the protocol on the connection.
package bufconn

import (
	"sync"

	"ravensill/internal/memory"
)

// minBufferBytes is the size of the memory that a buffer allocates at first. It is always available and not counted in
// the buffer's budget.
const minBufferBytes = 2048

// Sizes to which a buffer grows beyond minBufferBytes, before it grows to its limit. A buffer of largeBufferBytes holds
// a bulk string of 64 KiB and what belongs to it.
const (
	mediumBufferBytes = 8 << 10
	largeBufferBytes  = 72 << 10
)

// largeBuffers holds memory of largeBufferBytes for reuse: hundreds of clients that send large commands at full speed
// would leave more garbage than the collector keeps up with.
var largeBuffers = sync.Pool{New: func() any { return new([largeBufferBytes]byte) }}

// Buffer is a ring buffer, from which bytes are read in the order in which they were written. It grows when it is full,
// up to a limit, and as far as its budget admits it. It is not safe for concurrent use.
type Buffer struct {
	budget  *memory.Budget // counts the memory beyond minBufferBytes; nil: unlimited
	strict  bool           // whether the buffer does not grow beyond the budget
	buf     []byte         // the memory of the ring; nil when nothing is allocated
	wrapped []byte         // contiguous copies of spans that wrap around the end of buf
	head    int            // index in buf of the first byte
	length  int            // number of bytes in the buffer
	maxSize int            // size up to which buf may grow
}

// NewBuffer returns an empty buffer that grows up to maxSize bytes.
func NewBuffer(maxSize int) *Buffer { return &Buffer{maxSize: maxSize} }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return b.length }

// IsAtLimit reports whether the buffer holds as many bytes as it ever may. A full buffer that is not at its limit has
// no memory to grow.
func (b *Buffer) IsAtLimit() bool { return b.length == b.maxSize }

// FreeSpace returns free memory, to be filled from its start and then added by Extend. It returns nil if the buffer is
// full and may not grow.
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

// Extend appends the first n bytes of the memory that FreeSpace returned last.
func (b *Buffer) Extend(n int) { b.length += n }

// Write appends all of p. If p does not fit, it appends nothing and returns false.
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

// Head returns the first bytes, as many as are contiguous in memory.
func (b *Buffer) Head() []byte { return b.buf[b.head:min(b.head+b.length, len(b.buf))] }

// Drop removes the first n bytes, which must not exceed Len. It releases the memory of a buffer that has grown and
// is empty after that.
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
		b.Free()
	}
}

// Free drops all bytes and releases the memory.
func (b *Buffer) Free() {
	b.budget.Add(-reservedSize(len(b.buf)))
	recycle(b.buf)
	b.buf = nil
	b.wrapped = nil
	b.head = 0
	b.length = 0
}

// reservedSize returns how many bytes of memory of the given size are counted in the budget.
func reservedSize(size int) int { return max(size-minBufferBytes, 0) }

// At returns the byte at an offset from the first one.
func (b *Buffer) At(offset int) byte { return b.buf[b.index(offset)] }

// index returns the index in buf of the byte at an offset from the first one.
func (b *Buffer) index(offset int) int {
	i := b.head + offset
	if i >= len(b.buf) {
		i -= len(b.buf)
	}
	return i
}

// Span returns length bytes, from an offset on, as one slice. The slice is valid until the buffer changes or
// ReleaseSpans is called.
func (b *Buffer) Span(offset, length int) []byte {
	start := b.index(offset)
	if start+length <= len(b.buf) {
		return b.buf[start : start+length]
	}
	first := len(b.wrapped) // the earlier copies stay valid
	b.wrapped = append(b.wrapped, b.buf[start:]...)
	b.wrapped = append(b.wrapped, b.buf[:start+length-len(b.buf)]...)
	return b.wrapped[first:]
}

// ReleaseSpans ends the validity of all slices that Span has returned, so that the memory of copies can be reused.
func (b *Buffer) ReleaseSpans() {
	b.wrapped = b.wrapped[:0]
	if cap(b.wrapped) > minBufferBytes {
		b.wrapped = nil
	}
}

// grow moves the bytes to larger memory of at least the needed size. It returns false if that exceeds the limit or what
// the budget admits.
func (b *Buffer) grow(needed int) bool {
	size := b.nextSize(needed)
	if size < needed || !b.reserve(size) {
		return false
	}
	buf := allocate(size)
	n := copy(buf, b.Head())
	copy(buf[n:], b.buf[:b.length-n])
	recycle(b.buf)
	b.buf = buf
	b.head = 0
	return true
}

// nextSize returns the size to which the buffer has to grow for the needed one. It is smaller if that exceeds the
// limit.
func (b *Buffer) nextSize(needed int) int {
	for _, size := range []int{minBufferBytes, mediumBufferBytes, largeBufferBytes} {
		if size >= needed {
			return min(size, b.maxSize)
		}
	}
	return b.maxSize
}

// allocate returns memory of the given size, which may hold old bytes.
func allocate(size int) []byte {
	if size == largeBufferBytes {
		return largeBuffers.Get().(*[largeBufferBytes]byte)[:]
	}
	return make([]byte, size)
}

// recycle makes memory that is not used any more available to allocate.
func recycle(memory []byte) {
	if len(memory) == largeBufferBytes {
		largeBuffers.Put((*[largeBufferBytes]byte)(memory))
	}
}

// reserve counts memory of the given size in the budget, in place of the present memory, and reports whether the buffer
// may have it.
func (b *Buffer) reserve(size int) bool {
	held := reservedSize(len(b.buf))
	more := reservedSize(size) - held
	if b.strict && more > 0 {
		return b.budget.Reserve(held, more)
	}
	b.budget.Add(more)
	return true
}
