package emulator

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ravensill/lab/actor"
)

// arrivalReader reads a TCP connection and records when the kernel received the bytes. A busy process reads them much
// later.
type arrivalReader struct {
	raw       syscall.RawConn
	control   []byte // buffer for the control message with the time
	arrivedAt int64  // when the latest bytes arrived, in ns of actor.Now
}

// timespecBytes is the size of the kernel's time in a control message: seconds and nanoseconds of 8 bytes each.
const timespecBytes = 16

// recordArrivals makes the kernel record when bytes arrive on the connections that a listener accepts from now on.
func recordArrivals(listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return errors.Join(err, optionErr)
}

// newArrivalReader returns a reader of a connection that was accepted after recordArrivals.
func newArrivalReader(conn *net.TCPConn) (*arrivalReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &arrivalReader{raw: raw, control: make([]byte, unix.CmsgSpace(timespecBytes))}, nil
}

// Read implements io.Reader.
func (r *arrivalReader) Read(p []byte) (int, error) {
	count, controlBytes := 0, 0
	var readErr error
	err := r.raw.Read(func(fd uintptr) bool {
		count, controlBytes, _, _, readErr = unix.Recvmsg(int(fd), p, r.control, 0)
		for readErr == unix.EINTR {
			count, controlBytes, _, _, readErr = unix.Recvmsg(int(fd), p, r.control, 0)
		}
		return readErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, os.NewSyscallError("recvmsg", readErr)
	case count == 0:
		return 0, io.EOF
	}
	r.arrivedAt = min(arrivalTime(r.control[:controlBytes]), actor.Now())
	return count, nil
}

// arrivalTime returns the time in a control message, or now if it has none.
func arrivalTime(control []byte) int64 {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return actor.Now()
	}
	for _, message := range messages {
		isTime := message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SCM_TIMESTAMPNS
		if isTime && len(message.Data) >= timespecBytes {
			seconds := binary.NativeEndian.Uint64(message.Data)
			nanoseconds := binary.NativeEndian.Uint64(message.Data[timespecBytes/2:])
			return int64(seconds)*int64(time.Second) + int64(nanoseconds)
		}
	}
	return actor.Now()
}
