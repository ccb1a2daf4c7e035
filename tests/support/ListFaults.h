#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_LISTFAULTS_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_LISTFAULTS_H

#include "support/Cluster.h"

namespace hemlockhaven::Testing {

//! Cuts each zone of a ListReadingClusterOptions off in turn for so long. Its
//! entries expire after 2 s and return 1.8 s after the cut ends, within the two
//! seconds that the store allows.
void IsolateZonesInTurn(Cluster& aCluster, Duration aDuration);

//! Cuts each zone off in turn. Its entries expire, its daemons start anew in
//! the meantime, and the links of the other zones' leaders come back later than
//! the endpoints.
void IsolateZonesAndRestartDaemons(Cluster& aCluster);

}

#endif
