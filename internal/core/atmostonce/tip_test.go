package atmostonce_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
)

// TestTipWithOddContentType guards against a partition whose tip nobody can read since one service answered with a
// Content-Type that is not UTF-8.
func TestTipWithOddContentType(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(atmostonce.Tip{Entries: []atmostonce.Entry{{Outcome: &atmostonce.Outcome{Status: 200, ContentType: "text/\xff"}}}})
	is.NoErr(err)
	_, err = atmostonce.DecodeTip(data)
	is.NoErr(err)
}
