package bufconn

import (
	"bytes"
	"testing"
)

// Bytes are read in the order in which they were written, also when they wrap around the end of the memory and while
// that grows.
func TestBufferKeepsOrderWhileItWrapsAndGrows(t *testing.T) {
	b := NewBuffer(4 * minBufferBytes)
	var want, got []byte
	for i := 0; len(want) < 40*minBufferBytes; i++ {
		p := bytes.Repeat([]byte{byte(i)}, 1+i*37%1500)
		if !b.Write(p) {
			t.Fatalf("a write of %d bytes to a buffer of %d bytes failed", len(p), b.Len())
		}
		want = append(want, p...)
		for b.Len() > 2*minBufferBytes {
			n := min(b.Len(), 1+i*53%700)
			span := b.Span(0, n)
			if at := b.At(n - 1); at != span[n-1] {
				t.Fatalf("At returns %d, Span %d for the same byte", at, span[n-1])
			}
			got = append(got, span...)
			b.Drop(n)
			b.ReleaseSpans()
		}
	}
	for b.Len() > 0 {
		head := b.Head()
		got = append(got, head...)
		b.Drop(len(head))
	}
	if !bytes.Equal(got, want) {
		t.Error("the bytes that were read differ from those written")
	}
	if b.Write(make([]byte, 4*minBufferBytes+1)) || b.Len() != 0 {
		t.Error("a write beyond the limit succeeded")
	}
	if !b.Write(make([]byte, 4*minBufferBytes)) || b.FreeSpace() != nil {
		t.Error("a full buffer has free space")
	}
}
