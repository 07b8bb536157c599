// Package frames reads configsync messages from connections. Publishers and subscribers use it.
package frames

import (
	"errors"
	"fmt"
	"io"

	"ravensill/configsync"
)

// maxRetainedBuffer is the largest buffer, in bytes, that a Reader reuses for the next frame. A larger buffer is
// replaced, so that a connection doesn't keep the memory of one long frame.
const maxRetainedBuffer = 16 << 10

// MalformedError reports that a frame is too long or truncated, or that its content is not a valid message. Nothing
// after such a frame can be read.
type MalformedError struct {
	Err error
}

func (e *MalformedError) Error() string { return "malformed message: " + e.Err.Error() }

func (e *MalformedError) Unwrap() error { return e.Err }

// Reader reads framed messages from one connection. It is not safe for concurrent use.
type Reader struct {
	source       io.Reader
	maxBodyBytes int // largest frame accepted, in bytes without its header
	buffer       []byte
}

// NewReader returns a Reader that rejects a frame with more than limit bytes after its header. configsync.FrameSize
// rejects frames longer than configsync.MaxFrameBytes, whatever the limit.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, maxBodyBytes: limit}
}

// Next blocks until one complete message is read. It returns a *MalformedError for a bad frame and otherwise the error
// of the connection: io.EOF if the peer closed it between two frames.
func (r *Reader) Next() (configsync.Message, error) {
	header := r.resizeBuffer(configsync.FrameHeaderBytes)
	_, err := io.ReadFull(r.source, header)
	if err != nil {
		return nil, truncationError(err)
	}
	size, err := configsync.FrameSize(header)
	if err != nil {
		return nil, &MalformedError{err}
	}
	if size > r.maxBodyBytes {
		return nil, &MalformedError{fmt.Errorf("frame body of %d bytes exceeds the limit of %d", size, r.maxBodyBytes)}
	}
	frame := r.resizeBuffer(configsync.FrameHeaderBytes + size)
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

// resizeBuffer returns the reader's buffer resized to size bytes. It keeps the content as far as that fits, so that a
// frame's header stays in place when the buffer grows for its body.
func (r *Reader) resizeBuffer(size int) []byte {
	if cap(r.buffer) > maxRetainedBuffer || cap(r.buffer) < size {
		larger := make([]byte, max(size, configsync.FrameHeaderBytes))
		copy(larger, r.buffer)
		r.buffer = larger
	}
	r.buffer = r.buffer[:size]
	return r.buffer
}

// truncationError wraps io.ErrUnexpectedEOF, which means a truncated frame, in a *MalformedError. It returns any other
// error unchanged.
func truncationError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &MalformedError{err}
	}
	return err
}
