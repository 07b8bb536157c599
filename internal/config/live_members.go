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

const noMember = -1 // the member index of a checker, which is no gateway

var (
	errMemberIndex = fmt.Errorf("a member index from 0 to %d wanted", configsync.MaxMembers-1)
	errAddress     = errors.New("a string wanted, the address and port that the gateway gossips at")
	errGap         = errors.New("missing: member indices have no gaps")
)

// members holds the addresses of the fleet's gateways by member index: those of the file until a document names some.
type members struct {
	own       int  // member index of this gateway
	reachable bool // other members can reach this gateway, or none needs to
	fileCount int  // gateways of the fleet by the file
	file      []netip.AddrPort
	document  []netip.AddrPort       // empty: the document names none
	indices   map[netip.AddrPort]int // of those in document
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
	whole   bool
	changes map[int]netip.AddrPort // by member index; the zero address: removed
	count   int                    // of the document's members after the edit
}

func (m *members) edit(whole bool) memberEdit {
	edit := memberEdit{whole: whole, count: len(m.document)}
	if whole {
		edit.count = 0
	}
	return edit
}

// has tells whether an edit finds a member in the document.
func (m *members) has(edit *memberEdit, index int) bool {
	return !edit.whole && index < len(m.document)
}

// stageMember decodes the change of one member's address.
func (l *Live) stageMember(edit *liveEdit, change *configsync.Change, text string) error {
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 || index >= configsync.MaxMembers || strconv.Itoa(index) != text {
		return &ResourceError{Resource: change.Resource, Err: errMemberIndex}
	}
	var address netip.AddrPort
	if !change.Removed() {
		if address, err = memberAddress(change.Value); err != nil {
			return &ResourceError{Resource: change.Resource, Err: err}
		}
	}
	had := l.members.has(&edit.members, index)
	if had && change.Removed() {
		edit.members.count--
	}
	if !had && !change.Removed() {
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

// checkMembers looks at the members as they are after an edit, in time that grows with the edit alone.
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

// checkGaps makes sure that after an edit the members are those from 0 to count-1.
func (m *members) checkGaps(edit *memberEdit) error {
	for index, address := range edit.changes {
		if address.IsValid() && index >= edit.count {
			return memberError(m.firstGap(edit), errGap)
		}
	}
	if edit.whole {
		return nil
	}
	for index := edit.count; index < len(m.document); index++ { // all of them must be removed
		if address, changed := edit.changes[index]; !changed || address.IsValid() {
			return memberError(m.firstGap(edit), errGap)
		}
	}
	return nil
}

// firstGap finds the lowest member index that an edit leaves without an address.
func (m *members) firstGap(edit *memberEdit) int {
	for index := 0; ; index++ {
		address, changed := edit.changes[index]
		if changed && !address.IsValid() || !changed && !m.has(edit, index) {
			return index
		}
	}
}

// checkAddresses makes sure that no two members have one address: a message is known by its sender's.
func (m *members) checkAddresses(edit *memberEdit) error {
	taken := make(map[netip.AddrPort]int, len(edit.changes))
	for index, address := range edit.changes {
		if !address.IsValid() {
			continue
		}
		other, given := taken[address]
		if !given && !edit.whole {
			other, given = m.indices[address]
			if _, changed := edit.changes[other]; changed {
				given = false
			}
		}
		if given && other != index {
			err := fmt.Errorf("%s is the address of member %d", address, min(index, other))
			return memberError(max(index, other), err)
		}
		taken[address] = index
	}
	return nil
}

// inForce gives the addresses by member index; none where the file names none.
func (m *members) inForce() (count int, addresses []netip.AddrPort) {
	if len(m.document) > 0 {
		return len(m.document), m.document
	}
	return m.fileCount, m.file
}

// commit puts an edit in force.
func (m *members) commit(edit *memberEdit, revision *Revision) {
	before, addresses := m.inForce()
	if edit.whole || edit.count == 0 || len(m.document) == 0 {
		m.replace(edit)
		_, now := m.inForce()
		revision.Members = differing(addresses, now)
	} else {
		revision.Members = m.change(edit)
	}
	revision.MemberCount, _ = m.inForce()
	if revision.MemberCount != before {
		revision.Update.Members = revision.MemberCount
	}
}

// replace makes the document's members those of an edit alone.
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

// change edits the document's members where they are.
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

// differing tells which of the new addresses differ from the old ones.
func differing(old, now []netip.AddrPort) (changes []MemberChange) {
	for index, address := range now {
		if index >= len(old) || old[index] != address {
			changes = append(changes, MemberChange{Index: index, Address: address})
		}
	}
	return changes
}
