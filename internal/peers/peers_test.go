package peers

import (
	"net/netip"
	"testing"

	"ravensill/internal/mail"
)

// TestListen: a message counts as of the peer whose address it came from; one of a stranger, and one that can't be read,
// are dropped.
func TestListen(t *testing.T) {
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	open := func(peers ...netip.AddrPort) *Post {
		post, err := Open(anywhere, peers, 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(post.Close)
		return post
	}
	addr := func(p *Post) netip.AddrPort { return netip.MustParseAddrPort(p.Addr()) }
	receiver := open()
	sender, stranger := open(addr(receiver)), open(addr(receiver))
	receiver.peers = []netip.AddrPort{addr(receiver), addr(sender), addr(sender)}
	receiver.seats = seatsByAddr(receiver.peers)
	seats, dropped := make(chan int, 1), make(chan struct{}, 1)
	go receiver.Listen(func(seat int, _ []byte) { seats <- seat }, func() { dropped <- struct{}{} })
	sound := mail.Form{}.Head(1, 1, nil)
	sender.Tell(0, sound)
	if seat := <-seats; seat != 1 {
		t.Errorf("the message is of seat %d, want 1", seat)
	}
	stranger.Tell(0, sound)
	<-dropped
	sender.Tell(0, []byte("unsound"))
	<-dropped
}
