package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
)

// TestTakers: few instances take a configuration at a time, and one that stops on the way
// does not keep its place.
func TestTakers(t *testing.T) {
	is := is.New(t)
	var own takers
	for _, name := range []string{"a", "b", "c", "d"} {
		is.True(own.admit(name, false, at0))
	}
	is.True(!own.admit("e", false, at0))
	is.True(own.admit("a", false, at0.Add(peerTimeout))) // one that has begun goes on
	is.True(own.admit("a", true, at0.Add(peerTimeout)))
	is.True(own.admit("e", false, at0.Add(peerTimeout))) // a has ended
	is.True(!own.admit("f", false, at0.Add(peerTimeout)))
	is.True(own.admit("f", false, at0.Add(peerTimeout+time.Millisecond))) // b, c and d gave up
}

// TestConfigPart: pieces of one version are joined, whoever they come from; those of another
// version never are.
func TestConfigPart(t *testing.T) {
	is := is.New(t)
	var part configPart
	five, six := ConfigWord{Version: 5, Bytes: 4}, ConfigWord{Version: 6, Bytes: 3}
	is.True(part.add(ConfigPiece{Word: five, Piece: []byte("ab")}))
	is.True(part.add(ConfigPiece{Word: six, Piece: []byte("xy")}))
	is.Equal(string(part.raw), "xy")
	is.True(part.add(ConfigPiece{Word: six, Piece: []byte("z")}))
	is.Equal(string(part.raw), "xyz")
	is.True(!part.add(ConfigPiece{Word: six, Piece: []byte("z")}))               // longer than it is
	is.True(!part.add(ConfigPiece{Word: ConfigWord{Version: 6, Bytes: 2}}))      // another one under its version
	is.True(!(&configPart{}).add(ConfigPiece{}))                                 // a peer that has none
	is.True((&configPart{}).add(ConfigPiece{Word: five, Piece: []byte("abcd")})) // all at once
}

// TestWord: the word of a long configuration goes on before the document is here; that of a
// short one comes with it.
func TestWord(t *testing.T) {
	is := is.New(t)
	c := controlOf("e-1", "z0")
	c.now = func() time.Time { return at0 }
	c.cfg, c.raw = catalog.NewConfig(catalog.ConfigSpec{Version: 3}), make([]byte, 100)
	teller, holder := member.Member{Name: "e-2"}, member.Member{Name: "e-3"}

	short := ConfigWord{Version: 5, Bytes: longConfig}
	c.hearConfig(Have{Config: 5, Newest: short}, holder)
	is.Equal(c.have().Newest, c.configInForce())
	is.True(c.known().lacks(Have{Config: 5, Newest: short}))

	long := ConfigWord{Version: 7, Bytes: longConfig + 1}
	c.hearConfig(Have{Config: 3, Newest: long}, teller)
	is.Equal(c.have().Newest, long)
	is.Equal(c.have().Config, uint64(3))
	is.Equal(len(c.heard.holders), 0) // the teller only heard of it as well
	is.True(!c.known().lacks(Have{Config: 7, Newest: long}))
	c.hearConfig(Have{Config: 7, Newest: long}, holder)
	is.Equal(c.heard.holders, []member.Member{holder})

	configRead{cfg: catalog.NewConfig(catalog.ConfigSpec{Version: 7}), raw: make([]byte, longConfig+1), from: fromStore}.apply(c)
	is.Equal(c.have().Newest, long)
	is.True(c.newsFor(Known{Config: 3}, true) == nil) // not even for one that has no store
}
