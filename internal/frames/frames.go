// Package frames reads the messages of package configsync from connections, for publishers and subscribers.
package frames

import (
	"errors"
	"fmt"
	"io"

	"ravensill/configsync"
)

// maxRetainedBuffer is the largest buffer, in bytes, that a Reader retains between two frames.
const maxRetainedBuffer = 16 << 10

// MalformedError reports that a frame is too long, is truncated or contains no message. Nothing after it can be read.
type MalformedError struct {
	Err error
}

func (e *MalformedError) Error() string { return "malformed message: " + e.Err.Error() }

func (e *MalformedError) Unwrap() error { return e.Err }

// Reader reads messages. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	limit  int // bytes of a frame without its header
	buffer []byte
}

// NewReader returns a reader that refuses frames of more than limit bytes after their header, in addition to those
// beyond the limit of configsync.
func NewReader(source io.Reader, limit int) *Reader { return &Reader{source: source, limit: limit} }

// Next reads one message. The error is a *MalformedError or that of the connection, which is io.EOF if it was closed
// between two frames.
func (r *Reader) Next() (configsync.Message, error) {
	header := r.grow(configsync.FrameHeaderBytes)
	_, err := io.ReadFull(r.source, header)
	if err != nil {
		return nil, truncationError(err)
	}
	size, err := configsync.FrameSize(header)
	if err != nil {
		return nil, &MalformedError{err}
	}
	if size > r.limit {
		return nil, &MalformedError{fmt.Errorf("a frame of %d bytes, %d allowed", size, r.limit)}
	}
	frame := r.grow(configsync.FrameHeaderBytes + size)
	_, err = io.ReadFull(r.source, frame[configsync.FrameHeaderBytes:])
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, truncationError(err)
	}
	message, err := configsync.Decode(frame)
	if err != nil {
		return nil, &MalformedError{err}
	}
	return message, nil
}

// grow returns a buffer of a size that begins with the content of the buffer before.
func (r *Reader) grow(size int) []byte {
	if cap(r.buffer) > maxRetainedBuffer || cap(r.buffer) < size {
		larger := make([]byte, max(size, configsync.FrameHeaderBytes))
		copy(larger, r.buffer)
		r.buffer = larger
	}
	r.buffer = r.buffer[:size]
	return r.buffer
}

// truncationError returns a *MalformedError if an error means that a frame is truncated, and otherwise the error
// itself.
func truncationError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &MalformedError{err}
	}
	return err
}
