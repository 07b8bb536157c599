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
		post, err := Open(anywhere, peers, mail.Form{Plans: 1, Members: max(len(peers), 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(post.Close)
		return post
	}
	addr := func(p *Post) netip.AddrPort { return netip.MustParseAddrPort(p.Addr()) }
	receiver := open()
	sender, stranger := open(addr(receiver)), open(addr(receiver))
	receiver.addresses = []netip.AddrPort{addr(receiver), addr(sender), addr(sender)}
	receiver.members = byAddress(receiver.addresses)
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

// TestChange: after a change senders are known by their new addresses alone, and messages go there; a message of another
// form, as of a fleet of another size, is dropped.
func TestChange(t *testing.T) {
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	var posts []*Post
	var at []netip.AddrPort
	for range 4 {
		post, err := Open(anywhere, nil, mail.Form{ByID: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(post.Close)
		posts, at = append(posts, post), append(at, netip.MustParseAddrPort(post.Addr()))
	}
	receiver := posts[0]
	heard, dropped := make(chan int, 1), make(chan struct{}, 1)
	go receiver.Listen(func(member int, _ []byte) { heard <- member }, func() { dropped <- struct{}{} })
	told := make(chan int, 1)
	for i, post := range posts[1:] {
		go post.Listen(func(int, []byte) { told <- i + 1 }, func() {})
		post.Change([]Member{{0, at[0]}}, 1)
	}
	// want has each post send in turn a message of a fleet of so many: by which member it counts, -1 for dropped.
	want := func(members int, senders ...int) {
		t.Helper()
		for i, member := range senders {
			posts[i+1].Tell(0, mail.Form{Members: members, ByID: true}.Head(1, 1, nil))
			got := -1
			select {
			case got = <-heard:
			case <-dropped:
			}
			if got != member {
				t.Errorf("what post %d sends counts as of %d, want %d", i+1, got, member)
			}
		}
	}
	receiver.Change([]Member{{0, at[0]}, {1, at[1]}, {2, at[2]}}, 3)
	want(3, 1, 2, -1)
	want(2, -1, -1, -1)
	receiver.Change([]Member{{1, at[2]}, {2, at[1]}}, 3) // swapped
	want(3, 2, 1, -1)
	receiver.Change([]Member{{1, at[3]}}, 2) // one replaced, one less
	want(2, -1, -1, 1)
	posts[3].Change([]Member{{0, at[0]}}, 2)
	receiver.Tell(1, mail.Form{Members: 2, ByID: true}.Head(1, 1, nil))
	if to := <-told; to != 3 {
		t.Errorf("a message to the replaced member went to post %d", to)
	}
	receiver.Tell(2, nil) // no such member: no panic
}

func BenchmarkChange(b *testing.B) {
	post := &Post{members: map[netip.AddrPort]int{}}
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
	}
	var all []Member
	for i := range 6000 {
		all = append(all, Member{i, address(i)})
	}
	post.Change(all, len(all))
	b.ReportAllocs()
	for i := range b.N {
		post.Change([]Member{{7, address(6000 + i%2)}}, len(all))
	}
}
