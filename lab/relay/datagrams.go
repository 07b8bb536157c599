package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

// Datagrams is a net of datagrams between n ends that know each other by their addresses. Each end has one socket of
// the relay: to end i, end j is the address that encodes j at the port of socket i. A datagram that comes to
// socket i at that address goes on to where j listens, out of socket j, from the address that encodes i. So n sockets
// carry all pairs, and each end sees of whom a datagram is, as it would without a relay.
type Datagrams struct {
	relay *Relay
	name  string
	net   byte
	ends  []*end
	count Counts
}

type end struct {
	name    string
	conn    *ipv4.PacketConn
	port    uint16
	at      netip.AddrPort // where it listens; not valid: it is down or was not heard yet
	count   Counts         // of what it sent
	ordinal []uint64       // datagrams to each other end so far
}

// Counts are of datagrams since the start.
type Counts struct {
	Sent, Bytes, Lost, Doubled, Unplaced, Passed int
}

// Datagrams makes a net; names are those of its ends, as rules call them.
func (r *Relay) Datagrams(name string, names []string) (d *Datagrams, err error) {
	d = &Datagrams{relay: r, name: name}
	for _, n := range names {
		c, e := net.ListenUDP("udp4", &net.UDPAddr{})
		if e != nil {
			err = errors.Join(err, fmt.Errorf("relay of %s: %w", name, e))
			break
		}
		c.SetReadBuffer(1 << 20)
		p := ipv4.NewPacketConn(c)
		if e := p.SetControlMessage(ipv4.FlagDst, true); e != nil {
			err = errors.Join(err, fmt.Errorf("relay of %s: %w", name, e))
		}
		d.ends = append(d.ends, &end{name: n, conn: p, ordinal: make([]uint64, len(names)),
			port: netip.MustParseAddrPort(c.LocalAddr().String()).Port()})
	}
	if err != nil {
		d.close()
		return nil, err
	}
	r.Ask(func() {
		d.net = 128 + byte(len(r.nets))
		r.nets = append(r.nets, d)
	})
	for i := range d.ends {
		go d.read(i)
	}
	return d, nil
}

func (d *Datagrams) close() {
	for _, e := range d.ends {
		e.conn.Close()
	}
}

func (d *Datagrams) code(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, byte((i + 1) >> 8), byte(i + 1)})
}

// Peers gives the addresses of all ends as end i is to know them, by number; its own stands among them.
func (d *Datagrams) Peers(i int) (addrs []string) {
	for j := range d.ends {
		addrs = append(addrs, netip.AddrPortFrom(d.code(j), d.ends[i].port).String())
	}
	return addrs
}

// Place tells where an end listens now. An end that is not placed is learnt by what it sends first.
func (d *Datagrams) Place(i int, at netip.AddrPort) { d.relay.Ask(func() { d.ends[i].at = at }) }

// Counts gives the net's counts and those of what each end sent.
func (d *Datagrams) Counts() (all Counts, each []Counts) {
	d.relay.Ask(func() {
		all = d.count
		for _, e := range d.ends {
			each = append(each, e.count)
		}
	})
	return all, each
}

func (d *Datagrams) read(i int) {
	buf := make([]byte, 64<<10)
	for {
		n, cm, from, err := d.ends[i].conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || cm == nil { // such as a refusal told of an earlier datagram to an end that is down
			continue
		}
		to, _ := netip.AddrFromSlice(cm.Dst.To4())
		b := to.As4()
		j := int(b[2])<<8 + int(b[3]) - 1
		if b[1] != d.net || j < 0 || j >= len(d.ends) {
			continue
		}
		body := append([]byte(nil), buf[:n]...)
		src := from.(*net.UDPAddr).AddrPort()
		d.relay.Do(func() { d.carry(i, j, src, body) })
	}
}

func (d *Datagrams) carry(i, j int, src netip.AddrPort, body []byte) {
	from, to := d.ends[i], d.ends[j]
	from.at = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
	k := from.ordinal[j]
	from.ordinal[j]++
	for _, c := range []*Counts{&d.count, &from.count} {
		c.Sent++
		c.Bytes += len(body)
	}
	w := d.relay.way(from.name, to.name)
	if w == (Way{}) {
		d.pass(from, i, to, body)
		return
	}
	fate := w.Fate(d.relay.chance(d.name, from.name, to.name, k))
	for _, c := range []*Counts{&d.count, &from.count} {
		if len(fate) == 0 {
			c.Lost++
		} else {
			c.Doubled += len(fate) - 1
		}
	}
	for _, after := range fate {
		if after <= 0 {
			d.pass(from, i, to, body)
		} else {
			time.AfterFunc(after, func() { d.relay.Do(func() { d.pass(from, i, to, body) }) })
		}
	}
}

func (d *Datagrams) pass(from *end, i int, to *end, body []byte) {
	if !to.at.IsValid() {
		d.count.Unplaced++
		from.count.Unplaced++
		return
	}
	src := d.code(i).As4()
	if _, err := to.conn.WriteTo(body, &ipv4.ControlMessage{Src: src[:]}, net.UDPAddrFromAddrPort(to.at)); err == nil {
		d.count.Passed++
		from.count.Passed++
	}
}
