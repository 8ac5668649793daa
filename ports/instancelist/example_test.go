package instancelist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"hornbeamstep.example/ports/instancelist"
)

func ExampleHTTP_List() {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `[{"id":"i-1","address":"10.0.0.1:7000","zone":"Howick","role":"router","state":"leaving"}]`)
	}))
	defer platform.Close()
	list, err := (&instancelist.HTTP{Base: platform.URL}).List(context.Background())
	fmt.Println(list[0].ID, list[0].State == instancelist.Leaving, err)
	// Output: i-1 true <nil>
}
