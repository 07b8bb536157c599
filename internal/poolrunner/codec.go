// Package poolrunner connects the parts of package pool over the network: it exchanges signed UDP datagrams between the
// lease holders and the leading raft voter, and replicates the ledger among the voters.
package poolrunner

import (
	"crypto/hmac"
	"encoding/json"
	"errors"
	"fmt"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

const (
	maxDatagramBytes = 1024                    // including the signature
	signatureBytes   = consensus.SignatureSize // length of the signature, which precedes the message
)

var errInvalidSignature = errors.New("the datagram is not signed with the pool's key")

// Message is the content of a datagram. Exactly one field is set.
type Message struct {
	Report *pool.Report `json:"r,omitempty"` // from a lease holder
	Grant  *pool.Grant  `json:"g,omitempty"` // from the leading voter
	Leader *int         `json:"l,omitempty"` // from another voter: the index of the leading one
}

// Encode encodes a message as a datagram: a signature with the key, then the message as JSON. It fails if the datagram
// would exceed maxDatagramBytes.
func Encode(key []byte, message *Message) ([]byte, error) {
	payload, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(payload)+signatureBytes > maxDatagramBytes {
		return nil, errors.New("the encoded message exceeds the maximum datagram size")
	}
	return append(consensus.Sign(key, payload), payload...), nil
}

// Decode verifies the signature of a datagram and decodes its message. It fails if the datagram has an invalid length
// or signature, or if its message doesn't have exactly one field.
func Decode(key, datagram []byte) (*Message, error) {
	if len(datagram) <= signatureBytes || len(datagram) > maxDatagramBytes {
		return nil, fmt.Errorf("datagram of %d bytes is too short or too long", len(datagram))
	}
	signature := datagram[:signatureBytes]
	payload := datagram[signatureBytes:]
	if !hmac.Equal(signature, consensus.Sign(key, payload)) {
		return nil, errInvalidSignature
	}
	message := &Message{}
	if err := json.Unmarshal(payload, message); err != nil {
		return nil, err
	}
	setFields := 0
	for _, set := range []bool{message.Report != nil, message.Grant != nil, message.Leader != nil} {
		if set {
			setFields++
		}
	}
	if setFields != 1 {
		return nil, errors.New("the message does not have exactly one of the fields r, g and l")
	}
	return message, nil
}
