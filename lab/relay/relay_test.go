package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"ravensill/internal/golden"
)

const patience = 20 * time.Second

// What a pair's datagrams meet follows from the seed and their order alone.
func TestFate(t *testing.T) {
	var text string
	way := Way{Loss: 0.2, Double: 0.2, Reorder: 0.2, Delay: time.Millisecond, Jitter: time.Millisecond}
	for _, x := range []struct {
		seed     uint64
		from, to string
	}{{1, "a", "b"}, {1, "b", "a"}, {2, "a", "b"}} {
		r := New(x.seed)
		text += fmt.Sprint(x, ":")
		for k := range uint64(12) {
			text += fmt.Sprint(" ", way.Fate(r.chance("mail", x.from, x.to, k)))
		}
		text += "\n"
		r.Close()
	}
	golden.Check(t, text)
}

// Three ends see each other's datagrams as from each other; cuts hold one way or both and heal.
func TestDatagrams(t *testing.T) {
	r := New(1)
	defer r.Close()
	d, err := r.Datagrams("mail", []string{"a", "b", "c"})
	if err != nil {
		t.Fatal(err)
	}
	var ends []*net.UDPConn
	for i := range 3 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(patience))
		d.Place(i, netip.MustParseAddrPort(c.LocalAddr().String()))
		ends = append(ends, c)
	}
	send := func(i, j int, text string) {
		if _, err := ends[i].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(d.Peers(i)[j])); err != nil {
			t.Fatal(err)
		}
	}
	heard := func(j int) string {
		buf := make([]byte, 99)
		n, from, err := ends[j].ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		for i, p := range d.Peers(j) {
			if p == from.String() {
				return fmt.Sprint(i, " says ", string(buf[:n]))
			}
		}
		return "a stranger at " + from.String()
	}
	check := func(got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s, not %s", got, want)
		}
	}
	send(0, 1, "x")
	check(heard(1), "0 says x")
	send(2, 1, "y")
	check(heard(1), "2 says y")
	r.Set("cut", Rule{From: []string{"a"}, To: []string{"b"}, Way: Way{Cut: true}})
	send(0, 1, "lost")
	send(0, 2, "other way") // behind it in the same socket: once heard, the first was carried
	check(heard(2), "0 says other way")
	send(1, 0, "back")
	check(heard(0), "1 says back")
	r.Set("cut")
	r.Set("twice", Rule{Way: Way{Double: 1}})
	send(0, 1, "z")
	check(heard(1), "0 says z")
	check(heard(1), "0 says z")
	if all, each := d.Counts(); all != (Counts{Sent: 6, Bytes: 20, Lost: 1, Doubled: 1, Passed: 6}) || each[0].Lost != 1 {
		t.Errorf("counts %+v %+v", all, each)
	}
}

// A stream stands still in a cut and goes on where it was; a reset ends it.
func TestStream(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	r := New(1)
	defer r.Close()
	s, err := r.Stream("a", "b", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	echo := bufio.NewReader(c)
	say := func(text string) { io.WriteString(c, text) }
	want := func(text string) {
		t.Helper()
		if got, err := echo.ReadString('\n'); got != text {
			t.Fatalf("%q %v, not %q", got, err, text)
		}
	}
	say("one\n")
	want("one\n")
	r.Cut("cut", []string{"a"}, []string{"b"})
	say("two\n")
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := echo.ReadString('\n'); err == nil {
		t.Errorf("%q came through a cut", got)
	}
	c.SetReadDeadline(time.Now().Add(patience))
	r.Set("cut")
	want("two\n")
	r.Reset([]string{"a"}, nil)
	if got, err := echo.ReadString('\n'); err == nil {
		t.Errorf("%q after a reset", got)
	}
	if now, all := s.Open(); now != 0 || all != 1 {
		t.Errorf("%d open of %d", now, all)
	}
}
