// Package pooler carries the negotiation of package pool between gateways: datagrams between holders and the voter that
// lends, and the agreement of the voters by a library. It decides nothing.
package pooler

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"

	"ravensill/pool"
)

const (
	most   = 1024 // bytes of a datagram
	signed = 16   // of these its signature
)

var errForged = errors.New("not signed with the pool's key")

// Word is one datagram: one of its parts is there.
type Word struct {
	Report *pool.Report `json:"r,omitempty"`
	Grant  *pool.Grant  `json:"g,omitempty"`
	Leader *int         `json:"l,omitempty"` // the voter to ask
}

// Boot is a voter that has nothing on disk, told to the others until it has.
type Boot struct {
	Voter int    `json:"v"`
	ID    string `json:"i"`
}

func sum(key, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(text)
	return m.Sum(nil)[:signed]
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
	return append(sum(key, text), text...), nil
}

// Decode reads a datagram; the error tells what is wrong with it.
func Decode(key, b []byte) (*Word, error) {
	if len(b) <= signed || len(b) > most {
		return nil, errors.New("not a datagram's size")
	}
	if !hmac.Equal(b[:signed], sum(key, b[signed:])) {
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
