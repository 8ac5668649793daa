package configfile_test

import (
	"fmt"

	"hornbeamstep.example/policy/configfile"
)

func ExampleLoad() {
	f, err := configfile.Load([]configfile.File{
		{Name: "10-pools.yaml", Data: []byte("pools:\n  letters: {bound: 1.25}\n")},
		{Name: "20-harvest.yaml", Data: []byte("pools:\n  letters: {bound: 1.5}\n")},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	e, _ := f.Explain("pools.letters.bound")
	fmt.Println(e.Value, e.File, e.Line, "over", e.Overrides[0].Value)
	_, err = configfile.Load([]configfile.File{{Name: "a.yaml", Data: []byte("pools:\n  letters: {bond: 1.25}\n")}})
	fmt.Println(err)
	// Output:
	// 1.5 20-harvest.yaml 2 over 1.25
	// a.yaml:2: pools.letters.bond: key is unknown; use one of bound, memory, queue, wait
}
