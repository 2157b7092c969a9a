"""Network protocols: servers, clients and codecs. They parse, forward and write; decisions are made in `core`."""
