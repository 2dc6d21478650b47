package watch

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

func answerWithRoutes(count int) *Answer {
	a := &Answer{Age: time.Second}
	for i := range count {
		a.Delta.Items = append(a.Delta.Items, items.Item{
			Key: items.Key{Collection: items.Routes, Name: fmt.Sprintf("r-%06d", i)}, Version: 7, Revision: 9,
			Route: &items.Route{
				Host: "shop.example", Prefix: fmt.Sprintf("/path%d/", i), Kind: items.Safe, Timeout: time.Second, LatencyObjective: time.Second,
				Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
			},
		})
	}
	return a
}

// Guards against answers that differ after encoding and decoding.
func TestAnswerRoundTrip(t *testing.T) {
	for _, count := range []int{0, 1, 400} {
		sent := answerWithRoutes(count)
		data, err := Encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		var got Answer
		if err := Decode(data, &got); err != nil {
			t.Fatal(err)
		}
		if len(got.Delta.Items) != count || got.Age != sent.Age || count > 0 && !reflect.DeepEqual(got.Delta.Items[count-1].Route, sent.Delta.Items[count-1].Route) {
			t.Errorf("%d routes: got %d items", count, len(got.Delta.Items))
		}
	}
}

// Guards against a change of some hundred routes that takes longer on a slow link
// than the entry VM waits for the answer: the answer would be sent again and again
// and saturate the link.
func TestLargeChangeFitsSlowLink(t *testing.T) {
	const bytesPerSecond = 2e6 / 8
	data, err := Encode(answerWithRoutes(400))
	if err != nil {
		t.Fatal(err)
	}
	if took := float64(len(data)) / bytesPerSecond; took > 0.1 {
		t.Errorf("%d bytes take %.2f s on the 2 Mbit/s link of a small entry VM", len(data), took)
	}
}

// Guards against a panic or an answer of unbounded size when the data of a peer is
// malformed.
func TestMalformedAnswersAreErrors(t *testing.T) {
	var a Answer
	for _, data := range [][]byte{nil, {}, {9, 1}, {formatCompressed, 0xff, 0xff}, {formatPlain, 0xc1}} {
		if Decode(data, &a) == nil {
			t.Errorf("%v was decoded", data)
		}
		encoded, err := Encode(&Answer{EncodedDelta: append([]byte{9}, data...)})
		if err != nil {
			t.Fatal(err)
		}
		if Decode(encoded, &a) == nil {
			t.Errorf("an answer whose delta has the unknown format 9 and the content %v was decoded", data)
		}
	}
	for _, delta := range [][]byte{{formatCompressed, 0xff, 0xff}, {formatPlain, 0xc1}} {
		encoded, err := Encode(&Answer{EncodedDelta: delta})
		if err != nil {
			t.Fatal(err)
		}
		if Decode(encoded, &a) == nil {
			t.Errorf("an answer with the encoded delta %v was decoded", delta)
		}
	}
}
