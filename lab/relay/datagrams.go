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
	firstNetwork    = 128      // second octet of the addresses of the first network
	readBufferBytes = 1 << 20  // receive buffer of each socket
	maxDatagram     = 64 << 10 // bytes
)

// DatagramNetwork is a UDP network between nodes that know each other by address. The relay has one socket for each
// node. To node i, node j has the loopback address that encodes j, with the port of socket i. When socket i receives a
// datagram for that address, the relay sends it to node j on socket j, with the address that encodes i as its source.
// So n sockets carry the datagrams of all pairs, and each node sees the sender's address as if there were no relay.
type DatagramNetwork struct {
	relay       *Relay
	name        string
	secondOctet byte // of the addresses that encode nodes
	nodes       []*node
	counts      Counts
	readers     sync.WaitGroup // goroutines that read the sockets
}

// node is a node of a datagram network.
type node struct {
	name   string
	conn   *ipv4.PacketConn
	port   uint16
	addr   netip.AddrPort // where the node listens; invalid: not known yet, or the node is down
	counts Counts         // of the datagrams that the node sent
	sent   []uint64       // number of datagrams by receiver
}

// Counts are numbers of datagrams since the start of the relay. Bytes is the size of all datagrams sent.
type Counts struct {
	Sent       int
	Bytes      int
	Lost       int
	Duplicated int
	Unroutable int // dropped because the receiver's address was not known
	Delivered  int
}

// AddDatagramNetwork adds a network of nodes with these names, which rules use too. The random faults depend on the
// name of the network.
func (r *Relay) AddDatagramNetwork(name string, nodeNames []string) (*DatagramNetwork, error) {
	network := &DatagramNetwork{relay: r, name: name}
	for _, nodeName := range nodeNames {
		node, err := newNode(nodeName, len(nodeNames))
		if err != nil {
			network.close()
			return nil, fmt.Errorf("adding datagram network %s: %w", name, err)
		}
		network.nodes = append(network.nodes, node)
	}
	r.Ask(func() {
		network.secondOctet = firstNetwork + byte(len(r.networks))
		r.networks = append(r.networks, network)
	})
	for i := range network.nodes {
		network.readers.Go(func() { network.readDatagrams(i) })
	}
	return network, nil
}

// newNode opens the relay's socket for a node.
func newNode(name string, nodeCount int) (*node, error) {
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
	return &node{name: name, conn: conn, port: port, sent: make([]uint64, nodeCount)}, nil
}

// close closes the sockets.
func (d *DatagramNetwork) close() {
	for _, node := range d.nodes {
		node.conn.Close()
	}
}

// nodeAddr returns the loopback address that encodes node i.
func (d *DatagramNetwork) nodeAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.secondOctet, byte((i + 1) >> 8), byte(i + 1)})
}

// nodeIndex returns the node that an address encodes. ok is false if it encodes none of this network.
func (d *DatagramNetwork) nodeIndex(addr netip.Addr) (i int, ok bool) {
	octets := addr.As4()
	i = int(octets[2])<<8 + int(octets[3]) - 1
	return i, octets[1] == d.secondOctet && i >= 0 && i < len(d.nodes)
}

// PeerAddrs returns the addresses at which node i reaches each node, itself included.
func (d *DatagramNetwork) PeerAddrs(i int) (addrs []string) {
	for peer := range d.nodes {
		addrs = append(addrs, netip.AddrPortFrom(d.nodeAddr(peer), d.nodes[i].port).String())
	}
	return addrs
}

// SetAddr sets the address at which node i listens; an invalid address means that it is down. Without a call of SetAddr
// the relay learns the address from the first datagram that the node sends.
func (d *DatagramNetwork) SetAddr(i int, addr netip.AddrPort) {
	d.relay.Ask(func() { d.nodes[i].addr = addr })
}

// Counts returns the counts of the whole network and, by sender, of each node.
func (d *DatagramNetwork) Counts() (all Counts, each []Counts) {
	d.relay.Ask(func() {
		all = d.counts
		for _, node := range d.nodes {
			each = append(each, node.counts)
		}
	})
	return all, each
}

// readDatagrams receives the datagrams that a node sends until its socket is closed.
func (d *DatagramNetwork) readDatagrams(from int) {
	buffer := make([]byte, maxDatagram)
	for {
		n, control, source, err := d.nodes[from].conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || control == nil { // such as a port unreachable error for an earlier datagram to a node that is down
			continue
		}
		destination, _ := netip.AddrFromSlice(control.Dst.To4())
		to, ok := d.nodeIndex(destination)
		if !ok {
			continue
		}
		body := bytes.Clone(buffer[:n])
		addr := source.(*net.UDPAddr).AddrPort()
		d.relay.Do(func() { d.forward(from, to, addr, body) })
	}
}

// forward applies the faults of the link to a datagram and delivers the copies that remain. It also learns the sender's
// address.
func (d *DatagramNetwork) forward(from, to int, source netip.AddrPort, body []byte) {
	sender := d.nodes[from]
	sender.addr = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	sentBefore := sender.sent[to]
	sender.sent[to]++
	d.updateCounts(sender, func(counts *Counts) {
		counts.Sent++
		counts.Bytes += len(body)
	})
	faults := d.relay.faultsOf(sender.name, d.nodes[to].name)
	if faults == (Faults{}) {
		d.deliver(from, to, body)
		return
	}
	delays := faults.DeliveryDelays(d.relay.datagramRandom(d.name, sender.name, d.nodes[to].name, sentBefore))
	d.updateCounts(sender, func(counts *Counts) {
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

// updateCounts applies the same change to the counts of the whole network and to those of the sending node.
func (d *DatagramNetwork) updateCounts(sender *node, change func(*Counts)) {
	change(&d.counts)
	change(&sender.counts)
}

// deliver sends one copy of a datagram to its receiver, with the address that encodes the sender as the source.
func (d *DatagramNetwork) deliver(from, to int, body []byte) {
	sender, receiver := d.nodes[from], d.nodes[to]
	if !receiver.addr.IsValid() {
		d.updateCounts(sender, func(counts *Counts) { counts.Unroutable++ })
		return
	}
	source := d.nodeAddr(from).As4()
	control := &ipv4.ControlMessage{Src: source[:]}
	_, err := receiver.conn.WriteTo(body, control, net.UDPAddrFromAddrPort(receiver.addr))
	if err == nil {
		d.updateCounts(sender, func(counts *Counts) { counts.Delivered++ })
	}
}
