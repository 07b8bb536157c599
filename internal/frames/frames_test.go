package frames

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"ravensill/configsync"
)

const testLimit = 4 << 10

// FuzzReader checks that messages are read up to a malformed one or the end, and that no buffer grows beyond the limit.
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
				t.Fatalf("a buffer of %d bytes", cap(reader.buffer))
			}
			var malformed *MalformedError
			if errors.Is(err, io.EOF) && source.Len() == 0 || errors.As(err, &malformed) {
				return
			}
			if err != nil || message == nil {
				t.Fatalf("%v, %v with %d bytes left", message, err, source.Len())
			}
			read++
			if read > len(text)/configsync.FrameHeaderBytes {
				t.Fatalf("%d messages from %d bytes", read, len(text))
			}
		}
	})
}
