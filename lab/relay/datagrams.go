package relay

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"
)

const (
	firstNetwork    = 128     // second octet of the addresses of the first datagram network
	readBufferBytes = 1 << 20 // of a socket
	maxDatagram     = 64 << 10
)

// DatagramNetwork is a datagram network between ends that know each other by address. The relay has one socket for each
// end. To end i, end j is the loopback address that encodes j, at the port of socket i. A datagram that arrives at
// socket i for that address is sent on to end j, by socket j from the address that encodes i. So n sockets carry the
// datagrams of all pairs, and each end sees a datagram's sender as without a relay.
type DatagramNetwork struct {
	relay   *Relay
	name    string
	octet   byte // second octet of the addresses
	ends    []*end
	counts  Counts
	readers sync.WaitGroup
}

// end is one end of a datagram network.
type end struct {
	name   string
	conn   *ipv4.PacketConn
	port   uint16
	addr   netip.AddrPort // where the end listens; not valid: it is down, or not known yet
	counts Counts         // of what it sent
	sent   []uint64       // datagrams by receiver
}

// Counts are numbers of datagrams since the start.
type Counts struct {
	Sent       int
	Bytes      int
	Lost       int
	Duplicated int
	Unroutable int // the receiver's address was not known
	Delivered  int
}

// AddDatagramNetwork adds a network. Rules call its ends by their names.
func (r *Relay) AddDatagramNetwork(name string, ends []string) (*DatagramNetwork, error) {
	network := &DatagramNetwork{relay: r, name: name}
	for _, endName := range ends {
		end, err := newEnd(endName, len(ends))
		if err != nil {
			network.close()
			return nil, fmt.Errorf("datagram network %s: %w", name, err)
		}
		network.ends = append(network.ends, end)
	}
	r.Ask(func() {
		network.octet = firstNetwork + byte(len(r.networks))
		r.networks = append(r.networks, network)
	})
	for i := range network.ends {
		network.readers.Go(func() { network.read(i) })
	}
	return network, nil
}

// newEnd opens the socket of an end.
func newEnd(name string, ends int) (*end, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{})
	if err != nil {
		return nil, err
	}
	socket.SetReadBuffer(readBufferBytes)
	conn := ipv4.NewPacketConn(socket)
	if err := conn.SetControlMessage(ipv4.FlagDst, true); err != nil {
		socket.Close()
		return nil, err
	}
	port := netip.MustParseAddrPort(socket.LocalAddr().String()).Port()
	return &end{name: name, conn: conn, port: port, sent: make([]uint64, ends)}, nil
}

// close closes the sockets.
func (d *DatagramNetwork) close() {
	for _, end := range d.ends {
		end.conn.Close()
	}
}

// addrOf returns the address that encodes an end.
func (d *DatagramNetwork) addrOf(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.octet, byte((i + 1) >> 8), byte(i + 1)})
}

// indexOf is the inverse of addrOf. ok is false for an address of no end.
func (d *DatagramNetwork) indexOf(addr netip.Addr) (i int, ok bool) {
	octets := addr.As4()
	i = int(octets[2])<<8 + int(octets[3]) - 1
	return i, octets[1] == d.octet && i >= 0 && i < len(d.ends)
}

// PeerAddrs returns the addresses of all ends, itself among them, as end i is to know them.
func (d *DatagramNetwork) PeerAddrs(i int) (addrs []string) {
	for peer := range d.ends {
		addrs = append(addrs, netip.AddrPortFrom(d.addrOf(peer), d.ends[i].port).String())
	}
	return addrs
}

// SetAddr sets the address at which an end listens. Without it the address is learned from the first datagram that the
// end sends.
func (d *DatagramNetwork) SetAddr(i int, addr netip.AddrPort) {
	d.relay.Ask(func() { d.ends[i].addr = addr })
}

// Counts returns the counts of the network and of what each end sent.
func (d *DatagramNetwork) Counts() (all Counts, each []Counts) {
	d.relay.Ask(func() {
		all = d.counts
		for _, end := range d.ends {
			each = append(each, end.counts)
		}
	})
	return all, each
}

// read receives the datagrams of an end until its socket is closed.
func (d *DatagramNetwork) read(from int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, control, source, err := d.ends[from].conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || control == nil { // such as a refusal of an earlier datagram by an end that is down
			continue
		}
		destination, _ := netip.AddrFromSlice(control.Dst.To4())
		to, ok := d.indexOf(destination)
		if !ok {
			continue
		}
		body := bytes.Clone(buffer[:n])
		addr := source.(*net.UDPAddr).AddrPort()
		d.relay.Do(func() { d.forward(from, to, addr, body) })
	}
}

// forward delivers a datagram by the faults of its link.
func (d *DatagramNetwork) forward(from, to int, source netip.AddrPort, body []byte) {
	sender := d.ends[from]
	sender.addr = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	sentBefore := sender.sent[to]
	sender.sent[to]++
	d.count(sender, func(counts *Counts) {
		counts.Sent++
		counts.Bytes += len(body)
	})
	faults := d.relay.faults(sender.name, d.ends[to].name)
	if faults == (Faults{}) {
		d.deliver(from, to, body)
		return
	}
	delays := faults.DeliveryDelays(d.relay.random(d.name, sender.name, d.ends[to].name, sentBefore))
	d.count(sender, func(counts *Counts) {
		if len(delays) == 0 {
			counts.Lost++
		} else {
			counts.Duplicated += len(delays) - 1
		}
	})
	for _, delay := range delays {
		if delay <= 0 {
			d.deliver(from, to, body)
		} else {
			time.AfterFunc(delay, func() { d.relay.Do(func() { d.deliver(from, to, body) }) })
		}
	}
}

// count changes the counts of the network and of a sender.
func (d *DatagramNetwork) count(sender *end, change func(*Counts)) {
	change(&d.counts)
	change(&sender.counts)
}

// deliver sends a datagram to its receiver.
func (d *DatagramNetwork) deliver(from, to int, body []byte) {
	sender, receiver := d.ends[from], d.ends[to]
	if !receiver.addr.IsValid() {
		d.count(sender, func(counts *Counts) { counts.Unroutable++ })
		return
	}
	source := d.addrOf(from).As4()
	control := &ipv4.ControlMessage{Src: source[:]}
	_, err := receiver.conn.WriteTo(body, control, net.UDPAddrFromAddrPort(receiver.addr))
	if err == nil {
		d.count(sender, func(counts *Counts) { counts.Delivered++ })
	}
}
