#include "connection/peer_links.h"
