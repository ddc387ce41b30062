// Computes a digest, as the register's bodies and keys need.
#include <openssl/evp.h>

int main() {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  return EVP_Digest("probe", 5, digest, &size, EVP_sha256(), nullptr) == 1 && size == 32 ? 0 : 1;
}
