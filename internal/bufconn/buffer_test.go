package bufconn

import (
	"bytes"
	"testing"
)

// Bytes come out in the order in which they were written, around the end of the memory and while it grows.
func TestBufferKeepsOrderWhileItWrapsAndGrows(t *testing.T) {
	b := NewBuffer(4 * minBufferBytes)
	var want, got []byte
	for i := 0; len(want) < 40*minBufferBytes; i++ {
		p := bytes.Repeat([]byte{byte(i)}, 1+i*37%1500)
		if !b.Write(p) {
			t.Fatalf("%d bytes don't fit beside %d", len(p), b.Len())
		}
		want = append(want, p...)
		for b.Len() > 2*minBufferBytes {
			n := min(b.Len(), 1+i*53%700)
			span := b.Span(0, n)
			if at := b.At(n - 1); at != span[n-1] {
				t.Fatalf("At %d, Span %d", at, span[n-1])
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
		t.Error("other bytes were read than written")
	}
	if b.Write(make([]byte, 4*minBufferBytes+1)) || b.Len() != 0 {
		t.Error("more than the limit was written")
	}
	if !b.Write(make([]byte, 4*minBufferBytes)) || b.FreeSpace() != nil {
		t.Error("a full buffer has free space")
	}
}
