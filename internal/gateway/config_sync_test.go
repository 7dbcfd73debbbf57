package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
)

// TestThrottlesConfigReceivers: few instances take a configuration at a time, and one that stops on the way
// does not keep its place.
func TestThrottlesConfigReceivers(t *testing.T) {
	is := is.New(t)
	var own configReceivers
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

// TestConfigChunks: pieces of one version are joined, whoever they come from; those of another
// version never are.
func TestConfigChunks(t *testing.T) {
	is := is.New(t)
	var part partialConfig
	five, six := ConfigRef{Version: 5, Bytes: 4}, ConfigRef{Version: 6, Bytes: 3}
	is.True(part.add(ConfigReply{Ref: five, Chunk: []byte("ab")}))
	is.True(part.add(ConfigReply{Ref: six, Chunk: []byte("xy")}))
	is.Equal(string(part.raw), "xy")
	is.True(part.add(ConfigReply{Ref: six, Chunk: []byte("z")}))
	is.Equal(string(part.raw), "xyz")
	is.True(!part.add(ConfigReply{Ref: six, Chunk: []byte("z")}))                  // longer than it is
	is.True(!part.add(ConfigReply{Ref: ConfigRef{Version: 6, Bytes: 2}}))          // another one under its version
	is.True(!(&partialConfig{}).add(ConfigReply{}))                                // a peer that has none
	is.True((&partialConfig{}).add(ConfigReply{Ref: five, Chunk: []byte("abcd")})) // all at once
}

// TestWhichConfigRefIsReported: the word of a long configuration goes on before the document is here; that of a
// short one comes with it.
func TestWhichConfigRefIsReported(t *testing.T) {
	is := is.New(t)
	c := controlOf("e-1", "z0")
	c.now = func() time.Time { return at0 }
	c.cfg, c.rawConfig = catalog.NewConfig(catalog.ConfigSpec{Version: 3}), make([]byte, 100)
	teller, holder := member.Member{Name: "e-2"}, member.Member{Name: "e-3"}

	short := ConfigRef{Version: 5, Bytes: maxInlineConfig}
	c.receiveConfigRef(StateVersions{Config: 5, NewestConfig: short}, holder)
	is.Equal(c.stateVersions().NewestConfig, c.configInForce())
	is.True(c.knownVersions().isBehind(StateVersions{Config: 5, NewestConfig: short}))

	long := ConfigRef{Version: 7, Bytes: maxInlineConfig + 1}
	c.receiveConfigRef(StateVersions{Config: 3, NewestConfig: long}, teller)
	is.Equal(c.stateVersions().NewestConfig, long)
	is.Equal(c.stateVersions().Config, uint64(3))
	is.Equal(len(c.reportedConfig.holders), 0) // the teller only heard of it as well
	is.True(!c.knownVersions().isBehind(StateVersions{Config: 7, NewestConfig: long}))
	c.receiveConfigRef(StateVersions{Config: 7, NewestConfig: long}, holder)
	is.Equal(c.reportedConfig.holders, []member.Member{holder})

	configReceived{cfg: catalog.NewConfig(catalog.ConfigSpec{Version: 7}), raw: make([]byte, maxInlineConfig+1), from: fromStore}.apply(c)
	is.Equal(c.stateVersions().NewestConfig, long)
	is.True(c.updateFor(KnownVersions{Config: 3}, true) == nil) // not even for one that has no store
}
