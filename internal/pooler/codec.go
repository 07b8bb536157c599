// Package pooler carries the negotiation of package pool between gateways: datagrams between holders and the voter that
// lends, and the agreement of the voters by a library. It decides nothing.
package pooler

import (
	"crypto/hmac"
	"encoding/json"
	"errors"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

const (
	most   = 1024                    // bytes of a datagram
	signed = consensus.SignatureSize // of these its signature
)

var errForged = errors.New("not signed with the pool's key")

// Word is one datagram: one of its parts is there.
type Word struct {
	Report *pool.Report `json:"r,omitempty"`
	Grant  *pool.Grant  `json:"g,omitempty"`
	Leader *int         `json:"l,omitempty"` // the voter to ask
}

// Encode gives the datagram of a word.
func Encode(key []byte, w *Word) ([]byte, error) {
	text, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	if len(text)+signed > most {
		return nil, errors.New("word too long")
	}
	return append(consensus.Sign(key, text), text...), nil
}

// Decode reads a datagram; the error tells what is wrong with it.
func Decode(key, b []byte) (*Word, error) {
	if len(b) <= signed || len(b) > most {
		return nil, errors.New("not a datagram's size")
	}
	if !hmac.Equal(b[:signed], consensus.Sign(key, b[signed:])) {
		return nil, errForged
	}
	w := &Word{}
	if err := json.Unmarshal(b[signed:], w); err != nil {
		return nil, err
	}
	n := 0
	for _, there := range []bool{w.Report != nil, w.Grant != nil, w.Leader != nil} {
		if there {
			n++
		}
	}
	if n != 1 {
		return nil, errors.New("not one part")
	}
	return w, nil
}
