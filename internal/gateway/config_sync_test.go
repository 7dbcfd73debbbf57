package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
)

// TestThrottlesConfigReceivers checks that only maxConfigReceivers instances fetch a
// configuration at a time, and guards against one that stops midway and keeps its slot.
func TestThrottlesConfigReceivers(t *testing.T) {
	is := is.New(t)
	var receivers configReceivers
	for _, name := range []string{"a", "b", "c", "d"} {
		is.True(receivers.admit(name, false, at0))
	}
	is.True(!receivers.admit("e", false, at0))
	is.True(receivers.admit("a", false, at0.Add(peerTimeout))) // a transfer under way continues
	is.True(receivers.admit("a", true, at0.Add(peerTimeout)))
	is.True(receivers.admit("e", false, at0.Add(peerTimeout))) // a is complete
	is.True(!receivers.admit("f", false, at0.Add(peerTimeout)))
	is.True(receivers.admit("f", false, at0.Add(peerTimeout+time.Millisecond))) // b, c and d gave up
}

// TestConfigChunks guards against a document joined from chunks of different versions, and
// checks that chunks of one version are joined, whichever peer sent them.
func TestConfigChunks(t *testing.T) {
	is := is.New(t)
	var partial partialConfig
	five, six := ConfigRef{Version: 5, Bytes: 4}, ConfigRef{Version: 6, Bytes: 3}
	is.True(partial.add(ConfigReply{Ref: five, Chunk: []byte("ab")}))
	is.True(partial.add(ConfigReply{Ref: six, Chunk: []byte("xy")}))
	is.Equal(string(partial.raw), "xy")
	is.True(partial.add(ConfigReply{Ref: six, Chunk: []byte("z")}))
	is.Equal(string(partial.raw), "xyz")
	is.True(!partial.add(ConfigReply{Ref: six, Chunk: []byte("z")}))               // longer than announced
	is.True(!partial.add(ConfigReply{Ref: ConfigRef{Version: 6, Bytes: 2}}))       // a different document under the same version
	is.True(!(&partialConfig{}).add(ConfigReply{}))                                // the peer has no configuration
	is.True((&partialConfig{}).add(ConfigReply{Ref: five, Chunk: []byte("abcd")})) // complete in one chunk
}

// TestWhichConfigRefIsReported checks that the reference of a large configuration is relayed
// before the document has arrived here, and that of a small one only with the document.
func TestWhichConfigRefIsReported(t *testing.T) {
	is := is.New(t)
	c := controlOf("e-1", "z0")
	c.now = func() time.Time { return at0 }
	c.cfg, c.rawConfig = catalog.NewConfig(catalog.ConfigSpec{Version: 3}), make([]byte, 100)
	peer, holder := member.Member{Name: "e-2"}, member.Member{Name: "e-3"}

	short := ConfigRef{Version: 5, Bytes: maxInlineConfig}
	c.receiveConfigRef(StateVersions{Config: 5, NewestConfig: short}, holder)
	is.Equal(c.stateVersions().NewestConfig, c.configInForce())
	is.True(c.knownVersions().isBehind(StateVersions{Config: 5, NewestConfig: short}))

	long := ConfigRef{Version: 7, Bytes: maxInlineConfig + 1}
	c.receiveConfigRef(StateVersions{Config: 3, NewestConfig: long}, peer)
	is.Equal(c.stateVersions().NewestConfig, long)
	is.Equal(c.stateVersions().Config, uint64(3))
	is.Equal(len(c.reportedConfig.holders), 0) // the peer only has the reference, too
	is.True(!c.knownVersions().isBehind(StateVersions{Config: 7, NewestConfig: long}))
	c.receiveConfigRef(StateVersions{Config: 7, NewestConfig: long}, holder)
	is.Equal(c.reportedConfig.holders, []member.Member{holder})

	configReceived{cfg: catalog.NewConfig(catalog.ConfigSpec{Version: 7}), raw: make([]byte, maxInlineConfig+1), from: fromStore}.apply(c)
	is.Equal(c.stateVersions().NewestConfig, long)
	is.True(c.updateFor(KnownVersions{Config: 3}, true) == nil) // not even for a peer that can't reach the store
}
