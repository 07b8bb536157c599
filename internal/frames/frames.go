// Package frames reads and writes the messages of package configsync on connections. It is what publishers and subscribers
// share of them.
package frames

import (
	"errors"
	"fmt"
	"io"

	"ravensill/configsync"
)

// keptBuffer is the largest buffer, in bytes, that a Reader keeps between two frames.
const keptBuffer = 16 << 10

// MalformedError tells that a frame was too long, was cut short or holds no message. Nothing after it can be read.
type MalformedError struct{ Err error }

func (e *MalformedError) Error() string { return "malformed message: " + e.Err.Error() }

func (e *MalformedError) Unwrap() error { return e.Err }

// Reader reads messages. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	limit  int // bytes of a frame without its header
	buffer []byte
}

// NewReader gives a reader that refuses frames of more than limit bytes after their header. A limit beyond that of
// configsync changes nothing.
func NewReader(source io.Reader, limit int) *Reader { return &Reader{source: source, limit: limit} }

// Next reads one message. The error is a *MalformedError, or of the connection: io.EOF where it was ended between two
// frames.
func (r *Reader) Next() (configsync.Message, error) {
	header := r.room(configsync.FrameHeaderBytes)
	_, err := io.ReadFull(r.source, header)
	if err != nil {
		return nil, cutShort(err)
	}
	size, err := configsync.FrameSize(header)
	if err != nil {
		return nil, &MalformedError{err}
	}
	if size > r.limit {
		return nil, &MalformedError{fmt.Errorf("a frame of %d bytes, %d allowed", size, r.limit)}
	}
	frame := r.room(configsync.FrameHeaderBytes + size)
	_, err = io.ReadFull(r.source, frame[configsync.FrameHeaderBytes:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, cutShort(err)
	}
	message, err := configsync.Decode(frame)
	if err != nil {
		return nil, &MalformedError{err}
	}
	return message, nil
}

// room gives a buffer of a size that begins with what the last one held.
func (r *Reader) room(size int) []byte {
	if cap(r.buffer) > keptBuffer || cap(r.buffer) < size {
		larger := make([]byte, max(size, configsync.FrameHeaderBytes))
		copy(larger, r.buffer)
		r.buffer = larger
	}
	r.buffer = r.buffer[:size]
	return r.buffer
}

// cutShort tells a frame that was cut short from a connection that failed.
func cutShort(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &MalformedError{err}
	}
	return err
}
