package atmostonce_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
)

// TestTipWithOddContentType guards against a partition whose tip or segments nobody can read since one service answered with
// a Content-Type that is not UTF-8.
func TestTipWithOddContentType(t *testing.T) {
	is := is.New(t)
	entries := []atmostonce.Entry{{Outcome: &atmostonce.Outcome{Status: 200, ContentType: "text/\xff"}}}
	data, err := cbor.Marshal(atmostonce.Tip{Entries: entries})
	is.NoErr(err)
	tip, err := atmostonce.DecodeTip(data)
	is.NoErr(err)
	is.Equal(tip.Entries, entries)
	data, err = cbor.Marshal(entries)
	is.NoErr(err)
	segment, err := atmostonce.DecodeSegment(data)
	is.NoErr(err)
	is.Equal(segment, entries)
}
