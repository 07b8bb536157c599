package frames

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"ravensill/configsync"
)

const testLimit = 4 << 10 // bytes of a frame without its header

// FuzzReader checks, for any bytes received, that reading ends at a malformed frame or at the end of the data, that no
// message comes without the bytes of a frame, and that the buffer never grows beyond the limit for a frame.
func FuzzReader(f *testing.F) {
	acknowledge := configsync.Encode(&configsync.Acknowledge{Version: 3})
	f.Add(bytes.Repeat(acknowledge, 3))
	f.Add(acknowledge[:len(acknowledge)-1])
	f.Add(acknowledge[:2])
	f.Add([]byte{0, 0, 0x20, 0, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		source := bytes.NewReader(text)
		reader := NewReader(source, testLimit)
		read := 0
		for {
			message, err := reader.Next()
			if cap(reader.buffer) > configsync.FrameHeaderBytes+testLimit {
				t.Fatalf("buffer grew to %d bytes, beyond the limit", cap(reader.buffer))
			}
			var malformed *MalformedError
			if errors.Is(err, io.EOF) && source.Len() == 0 || errors.As(err, &malformed) {
				return
			}
			if err != nil || message == nil {
				t.Fatalf("Next returned message %v and error %v with %d bytes left", message, err, source.Len())
			}
			read++
			if read > len(text)/configsync.FrameHeaderBytes {
				t.Fatalf("read %d messages from only %d bytes", read, len(text))
			}
		}
	})
}
