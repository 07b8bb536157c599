package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"ravensill/configsync"
)

// noMember is the member index of a checker, which is no gateway.
const noMember = -1

var (
	errMemberIndex = fmt.Errorf("a member index from 0 to %d wanted", configsync.MaxMembers-1)
	errAddress     = errors.New("a string wanted, the address and port that the gateway gossips at")
	errGap         = errors.New("missing: member indices have no gaps")
)

// members are the gossip addresses of all gateways by member index: those of the file until a document names some.
type members struct {
	own       int                    // member index of this gateway
	reachable bool                   // other members can reach this gateway, or none needs to
	fileCount int                    // members by the file
	file      []netip.AddrPort       // may be empty
	document  []netip.AddrPort       // empty: the document names none
	indices   map[netip.AddrPort]int // of the addresses in document
}

func newMembers(base *Config) members {
	return members{
		own:       base.Membership.Index,
		reachable: !base.Membership.Gossip || base.PeerListen.IsValid(),
		fileCount: base.Membership.Count,
		file:      base.Peers,
	}
}

// memberEdit is a change of the members that is checked but not yet in force.
type memberEdit struct {
	complete bool                   // the edit replaces the document
	changes  map[int]netip.AddrPort // by member index; the zero address removes the member
	count    int                    // members of the document after the edit
}

func (m *members) edit(complete bool) memberEdit {
	edit := memberEdit{complete: complete, count: len(m.document)}
	if complete {
		edit.count = 0
	}
	return edit
}

// has reports whether an edit finds a member in the document.
func (m *members) has(edit *memberEdit, index int) bool {
	return !edit.complete && index < len(m.document)
}

// stageMember decodes the change of one member's address.
func (l *Live) stageMember(edit *liveEdit, change *configsync.Change, text string) error {
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 || index >= configsync.MaxMembers || strconv.Itoa(index) != text {
		return &ResourceError{Resource: change.Resource, Err: errMemberIndex}
	}
	var address netip.AddrPort
	if !change.IsRemoval() {
		address, err = memberAddress(change.Value)
		if err != nil {
			return &ResourceError{Resource: change.Resource, Err: err}
		}
	}
	exists := l.members.has(&edit.members, index)
	if exists && change.IsRemoval() {
		edit.members.count--
	}
	if !exists && !change.IsRemoval() {
		edit.members.count++
	}
	if edit.members.changes == nil {
		edit.members.changes = map[int]netip.AddrPort{}
	}
	edit.members.changes[index] = address
	return nil
}

func memberAddress(value []byte) (netip.AddrPort, error) {
	if !gjson.ValidBytes(value) {
		return netip.AddrPort{}, errAddress
	}
	given := gjson.ParseBytes(value)
	if given.Type != gjson.String {
		return netip.AddrPort{}, errAddress
	}
	address, err := netip.ParseAddrPort(given.Str)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, errAddress
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

// checkMembers checks the members after an edit, in time that grows with the edit alone.
func (l *Live) checkMembers(edit *memberEdit) error {
	m := &l.members
	if err := m.checkGaps(edit); err != nil {
		return err
	}
	if err := m.checkAddresses(edit); err != nil {
		return err
	}
	if m.own == noMember {
		return nil
	}
	count := edit.count
	if count == 0 {
		count = m.fileCount
	}
	if m.own >= count {
		return memberError(m.own, errOwnMember)
	}
	if l.file.fixedSize && count != m.fileCount {
		return memberError(count-1, errFixedSize)
	}
	if count > 1 && !m.reachable {
		return memberError(m.own, errNoListen)
	}
	return nil
}

func memberError(index int, err error) error {
	return &ResourceError{Resource: configsync.MemberPrefix + configsync.Resource(strconv.Itoa(index)), Err: err}
}

// checkGaps returns an error unless the members after an edit are those from 0 to count-1.
func (m *members) checkGaps(edit *memberEdit) error {
	for index, address := range edit.changes {
		if address.IsValid() && index >= edit.count {
			return memberError(m.firstGap(edit), errGap)
		}
	}
	if edit.complete {
		return nil
	}
	for index := edit.count; index < len(m.document); index++ {
		address, changed := edit.changes[index]
		removed := changed && !address.IsValid()
		if !removed {
			return memberError(m.firstGap(edit), errGap)
		}
	}
	return nil
}

// firstGap returns the lowest member index that has no address after an edit.
func (m *members) firstGap(edit *memberEdit) int {
	for index := 0; ; index++ {
		address, changed := edit.changes[index]
		if changed && !address.IsValid() || !changed && !m.has(edit, index) {
			return index
		}
	}
}

// checkAddresses returns an error if two members have the same address, which identifies a message's sender.
func (m *members) checkAddresses(edit *memberEdit) error {
	taken := make(map[netip.AddrPort]int, len(edit.changes))
	for index, address := range edit.changes {
		if !address.IsValid() {
			continue
		}
		other, used := taken[address]
		if !used && !edit.complete {
			other, used = m.unchangedOwner(edit, address)
		}
		if used && other != index {
			err := fmt.Errorf("%s is the address of member %d", address, min(index, other))
			return memberError(max(index, other), err)
		}
		taken[address] = index
	}
	return nil
}

// unchangedOwner returns the member of the document that has an address and that an edit doesn't change.
func (m *members) unchangedOwner(edit *memberEdit, address netip.AddrPort) (index int, found bool) {
	index, found = m.indices[address]
	if _, changed := edit.changes[index]; changed {
		return 0, false
	}
	return index, found
}

// inForce returns the number of members and their addresses by member index; no addresses where the file has none.
func (m *members) inForce() (count int, addresses []netip.AddrPort) {
	if len(m.document) > 0 {
		return len(m.document), m.document
	}
	return m.fileCount, m.file
}

// commit puts an edit in force.
func (m *members) commit(edit *memberEdit, revision *Revision) {
	countBefore, addressesBefore := m.inForce()
	if edit.complete || edit.count == 0 || len(m.document) == 0 {
		m.replace(edit)
		_, addresses := m.inForce()
		revision.Members = differing(addressesBefore, addresses)
	} else {
		revision.Members = m.change(edit)
	}
	revision.MemberCount, _ = m.inForce()
	if revision.MemberCount != countBefore {
		revision.Update.Members = revision.MemberCount
	}
}

// replace sets the document's members to those of an edit alone.
func (m *members) replace(edit *memberEdit) {
	m.document = make([]netip.AddrPort, edit.count)
	m.indices = make(map[netip.AddrPort]int, edit.count)
	for index, address := range edit.changes {
		if address.IsValid() {
			m.document[index] = address
			m.indices[address] = index
		}
	}
}

// change changes the document's members in place.
func (m *members) change(edit *memberEdit) (changes []MemberChange) {
	for index := range edit.changes {
		if index < len(m.document) {
			delete(m.indices, m.document[index])
		}
	}
	m.document = slices.Grow(m.document, max(edit.count-len(m.document), 0))[:edit.count]
	for index, address := range edit.changes {
		if !address.IsValid() {
			continue
		}
		if m.document[index] != address {
			changes = append(changes, MemberChange{Index: index, Address: address})
		}
		m.document[index] = address
		m.indices[address] = index
	}
	slices.SortFunc(changes, func(a, b MemberChange) int { return a.Index - b.Index })
	return changes
}

// differing returns the new addresses that differ from the old ones.
func differing(before, after []netip.AddrPort) (changes []MemberChange) {
	for index, address := range after {
		if index >= len(before) || before[index] != address {
			changes = append(changes, MemberChange{Index: index, Address: address})
		}
	}
	return changes
}
