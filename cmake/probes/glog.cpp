// Starts logging as the daemon does. Ends at its start where gflags is in the program twice.
#include <glog/logging.h>

int main(int, char** argv) {
  google::InitGoogleLogging(argv[0]);
  google::SetLogDestination(google::INFO, "");
  LOG(INFO) << "probe";
  return 0;
}
